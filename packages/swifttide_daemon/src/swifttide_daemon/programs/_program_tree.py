"""A root program and its sub-agents, as their holder has them in memory."""

import threading
from dataclasses import dataclass, field

from swifttide_core.programs import ProgramRow
from swifttide_daemon.calls import FifoLock
from swifttide_daemon.programs._chunk import Message


@dataclass(frozen=True, slots=True)
class AdvanceReservation:
    """Tokens that are reserved for a later turn.

    Parameters
    ----------
    tokens : int
    term : int
        Term of the root's row; under another one they are spent.
    """

    tokens: int
    term: int


NO_RESERVATION = AdvanceReservation(0, 0)


@dataclass(slots=True)
class ProgramEntry:
    """One program of a tree.

    Parameters
    ----------
    order : FifoLock
        Held by the call that runs.
    chunks : tuple of str
        Turns that `messages` holds.
    messages : tuple of Message
        Conversation of these turns.
    active_at : float
        Monotonic seconds of the last call.
    exported_cache : tuple of (str, int) or None
        Object that holds its cache, and the cache's tokens.
    attained_cost : float
        Cost that it was served here, in the queue's units.
    """

    order: FifoLock = field(default_factory=FifoLock)
    chunks: tuple[str, ...] = ()
    messages: tuple[Message, ...] = ()
    active_at: float = 0.0
    exported_cache: tuple[str, int] | None = None
    attained_cost: float = 0.0


@dataclass(slots=True)
class ProgramTree:
    """Programs that share a budget.

    Parameters
    ----------
    programs : dict of str to ProgramEntry
        By program id.
    rows : dict of str to ProgramRow
        As last read or written here, by the key of the row.
    advance_reservation : AdvanceReservation
        What a commit left reserved and no turn has taken yet.
    unrecorded_tokens : int
        Used while the platform was away, to be settled with the next commit.
    n_uncommitted_calls : int
        Calls of plain services since the last commit.
    customer, profile : str
        Of the root's first call here.
    started_at : float
        Monotonic seconds of the first call here; 0 before it.
    is_latency_reported : bool
        Whether the program's latency was reported.
    lock : Lock
        Guards the fields; not held during calls to the platform.
    """

    programs: dict[str, ProgramEntry] = field(default_factory=dict)
    rows: dict[str, ProgramRow] = field(default_factory=dict)
    advance_reservation: AdvanceReservation = NO_RESERVATION
    unrecorded_tokens: int = 0
    n_uncommitted_calls: int = 0
    customer: str = ""
    profile: str = ""
    started_at: float = 0.0
    is_latency_reported: bool = False
    lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def idle(self) -> bool:
        """Whether no call of the tree runs or waits."""
        return all(entry.order.idle for entry in self.programs.values())

    @property
    def active_at(self) -> float:
        """Monotonic seconds of the last call of any program of the tree."""
        return max((e.active_at for e in self.programs.values()), default=0.0)
