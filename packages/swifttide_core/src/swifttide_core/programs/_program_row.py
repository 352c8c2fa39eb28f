"""The row of a program in the platform's table ``programs``."""

from dataclasses import dataclass
from enum import StrEnum


class ProgramState(StrEnum):
    """Whether a program accepts further calls."""

    OPEN = "open"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ProgramRow:
    """Persistent state of a program, apart from the chunks of its history.

    Fields described as "of the root" are valid only in the row of a root program.

    Parameters
    ----------
    customer, program : str
        The customer is part of the key, so that two customers that choose the same
        program id never share a history.
    root : str
        Id of the root program; its own id for a root.
    parent : str
        Id of the program that started this one; empty for a root.
    profile : str
        Name of the profile that its first call gave.
    zone : str
        Availability zone that served its last turn.
    turns : int
        Committed turns.
    last_body_hash : str
        Hash of the body of the last committed turn. The same turn sent again gets the
        stored answer.
    chunks : tuple of str
        Names of the objects that store the committed turns, in order.
    total_tokens : int
        Length of the history in tokens.
    budget_used, budget_reserved : int
        Of the root: tokens used by finished turns, and tokens reserved for turns that
        may be in flight.
    root_turns : int
        Of the root: number of turns of the program and its sub-agents.
    root_calls : int
        Of the root: number of calls to services other than models, as of the last
        commit.
    started_at : float
        Of the root: wall-clock seconds of its first turn; 0 when unknown.
    targets : tuple of str
        Engines (model servers) that may hold the program's prompt cache.
    holder : str
        Of the root: zone, slot and epoch under which the reservations were made; a slot
        is a partition of the programs that one host at a time serves. Another holder
        counts the reservations as spent, since the outcome of those turns can't be
        determined.
    term : int
        Of the root: number of changes of the holder. A zone can serve a program, lose
        it to another zone and get it back while a turn is still running. That turn's
        reservation was counted as spent in between, which the holder's name doesn't
        show.
    state : ProgramState
        An ended program accepts no further calls.
    version : int
        Version of the stored row; 0 if there is none yet.
    """

    customer: str
    program: str
    root: str
    parent: str = ""
    profile: str = ""
    zone: str = ""
    turns: int = 0
    last_body_hash: str = ""
    chunks: tuple[str, ...] = ()
    total_tokens: int = 0
    budget_used: int = 0
    budget_reserved: int = 0
    root_turns: int = 0
    root_calls: int = 0
    started_at: float = 0.0
    targets: tuple[str, ...] = ()
    holder: str = ""
    term: int = 0
    state: ProgramState = ProgramState.OPEN
    version: int = 0

    @property
    def key(self) -> str:
        """Key of the row."""
        return f"{self.customer}/{self.program}"

    @property
    def is_root(self) -> bool:
        """Whether this is the row of a root program, which holds the budget."""
        return self.root == self.program
