"""A small fleet to try the command on, from one process on loopback."""

from swifttide_standins.site._site import write_environment

__all__ = ["write_environment"]
