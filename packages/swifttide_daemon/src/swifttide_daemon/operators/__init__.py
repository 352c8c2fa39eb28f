"""HTTP API for operators of the fleet."""

from swifttide_daemon.operators._handlers import OperatorHandlers

__all__ = ["OperatorHandlers"]
