"""Requests of callers, from the socket to the holder of their program."""

from swifttide_daemon.entry._authenticator import Authenticator, Identity
from swifttide_daemon.entry._dispatcher import CALLS_PATH, Dispatcher
from swifttide_daemon.entry._gate import Gate, GateState
from swifttide_daemon.entry._handlers import CallHandlers
from swifttide_daemon.entry._program_handlers import ProgramHandlers
from swifttide_daemon.entry._program_roots import ProgramRoots

__all__ = [
    "CALLS_PATH",
    "Authenticator",
    "CallHandlers",
    "Dispatcher",
    "Gate",
    "GateState",
    "Identity",
    "ProgramHandlers",
    "ProgramRoots",
]
