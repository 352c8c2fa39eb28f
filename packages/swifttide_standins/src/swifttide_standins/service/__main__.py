"""Run a plain service as a process of its own."""

import cappa

from swifttide_standins.service._options import ServiceOptions

if __name__ == "__main__":
    cappa.invoke(ServiceOptions)
