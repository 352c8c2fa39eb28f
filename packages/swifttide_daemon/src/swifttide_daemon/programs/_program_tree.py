"""A root program and its sub-agents, as their holder has them in memory."""

import threading
from dataclasses import dataclass, field

from swifttide_core.programs import ProgramRow
from swifttide_daemon.calls import FifoLock
from swifttide_daemon.programs._chunk import Message


@dataclass(slots=True)
class ProgramEntry:
    """One program of a tree.

    Parameters
    ----------
    row : ProgramRow
        As last read or written.
    messages : tuple of Message or None
        History; None until it has been read.
    order : FifoLock
        Held by the call that runs.
    active_at : float
        Monotonic seconds of the last call.
    """

    row: ProgramRow
    messages: tuple[Message, ...] | None = None
    order: FifoLock = field(default_factory=FifoLock)
    active_at: float = 0.0


@dataclass(slots=True)
class ProgramTree:
    """Programs that share a budget.

    Parameters
    ----------
    programs : dict of str to ProgramEntry
        By program id, the root included once it is known.
    in_flight_tokens : int
        Reserved for turns that run now; never more than the root's row holds.
    lock : RLock
        Guards rows and budget; held for short steps and writes of rows.
    """

    programs: dict[str, ProgramEntry] = field(default_factory=dict)
    in_flight_tokens: int = 0
    lock: threading.RLock = field(default_factory=threading.RLock)
