"""The swifttide command, by which operators edit and look."""

from importlib.metadata import version

__version__ = version("swifttide-cli")
