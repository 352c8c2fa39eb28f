"""Handling of callers' requests at the entry host.

The entry host authenticates and checks a request, then forwards it to the host that
holds the slot of its program and passes the events of the call back to the caller.
"""

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
