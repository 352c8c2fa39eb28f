"""State of a root program and its sub-agents in the memory of their holder."""

import threading
from dataclasses import dataclass, field

from swifttide_core.programs import ProgramRow
from swifttide_daemon.calls import FifoLock
from swifttide_daemon.programs._chunk import Message


@dataclass(frozen=True, slots=True)
class AdvanceReservation:
    """Budget tokens that a commit has reserved for a later turn.

    Parameters
    ----------
    tokens : int
    term : int
        Term of the root program's row at the time of the commit. Under any other
        term the tokens count as used and must not be taken.
    """

    tokens: int
    term: int


NO_RESERVATION = AdvanceReservation(0, 0)


@dataclass(slots=True)
class ProgramEntry:
    """One program of a tree: a root program or a sub-agent.

    Parameters
    ----------
    order : FifoLock
        Lock that the running call holds, so that calls run one at a time and in the
        order of their arrival.
    chunks : tuple of str
        Names of the stored turns whose conversation is in `messages`.
    messages : tuple of Message
        Conversation of these turns.
    active_at : float
        Monotonic time of the last call, in seconds.
    exported_cache : tuple of (str, int) or None
        Name of the object to which the program's engine cache was exported, and the
        number of tokens in the cache.
    attained_cost : float
        Cost of the service that the program has received at this host, in the units
        of the target queue.
    """

    order: FifoLock = field(default_factory=FifoLock)
    chunks: tuple[str, ...] = ()
    messages: tuple[Message, ...] = ()
    active_at: float = 0.0
    exported_cache: tuple[str, int] | None = None
    attained_cost: float = 0.0


@dataclass(slots=True)
class ProgramTree:
    """A root program and its sub-agents, which share one token budget.

    Parameters
    ----------
    programs : dict of str to ProgramEntry
        Programs by their id.
    rows : dict of str to ProgramRow
        Rows as last read or written by this host, by the key of the row.
    advance_reservation : AdvanceReservation
        Tokens that a commit has reserved and that no turn has taken yet.
    unrecorded_tokens : int
        Tokens used while the platform was unreachable. The next commit adds them to
        the used budget.
    n_uncommitted_calls : int
        Number of calls of plain services that no commit has counted yet.
    customer, profile : str
        Customer and profile of the first call of the tree at this host.
    started_at : float
        Monotonic time of the first call at this host, in seconds; 0 before it.
    is_latency_reported : bool
        Whether the latency of the root program was reported.
    lock : Lock
        Protects the fields. It is not held during requests to the platform.
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
        """Monotonic time of the last call of any program of the tree, in seconds."""
        return max((e.active_at for e in self.programs.values()), default=0.0)
