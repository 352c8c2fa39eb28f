"""The subcommands, one module a group."""

from swifttide_cli.commands._swifttide import Swifttide

__all__ = ["Swifttide"]
