"""Operators' calls."""

from swifttide_daemon.operators._handlers import OperatorHandlers

__all__ = ["OperatorHandlers"]
