"""Calls between an entry host and the holder that runs them."""

from swifttide_daemon.calls._call import Call, CallKind
from swifttide_daemon.calls._call_table import CallTable
from swifttide_daemon.calls._events import (
    CallEvent,
    Content,
    Failed,
    Finished,
    Reset,
    Started,
    Terminal,
    Waiting,
    decode_event,
    encode_event,
)
from swifttide_daemon.calls._fifo_lock import FifoLock
from swifttide_daemon.calls._running_call import RunningCall

__all__ = [
    "Call",
    "CallEvent",
    "CallKind",
    "CallTable",
    "Content",
    "Failed",
    "FifoLock",
    "Finished",
    "Reset",
    "RunningCall",
    "Started",
    "Terminal",
    "Waiting",
    "decode_event",
    "encode_event",
]
