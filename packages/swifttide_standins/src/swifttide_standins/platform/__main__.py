"""Run the platform as a process of its own."""

import cappa

from swifttide_standins.platform._options import PlatformOptions

if __name__ == "__main__":
    cappa.invoke(PlatformOptions)
