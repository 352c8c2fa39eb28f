"""Run an engine as a process of its own."""

import cappa

from swifttide_standins.engine._options import EngineOptions

if __name__ == "__main__":
    cappa.invoke(EngineOptions)
