"""Calls that an entry host sends to the holder of a program, and their events.

The holder runs each call once and keeps its events, so that an entry host can connect
again and read the rest of the events after its connection breaks.
"""

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
