"""The row of a program in the platform's table ``programs``."""

from dataclasses import dataclass
from enum import StrEnum


class ProgramState(StrEnum):
    """Life of a program."""

    OPEN = "open"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class ProgramRow:
    """What lasts of a program besides the chunks of its history.

    Parameters
    ----------
    customer, program : str
        The customer is part of the key, so that two customers that choose the same
        program id never share a history.
    root : str
        Id of the root program; its own id for a root.
    parent : str
        Id of the program that started it; empty for a root.
    profile : str
        Profile that its first call named.
    zone : str
        Availability zone that served its last turn.
    turns : int
        Committed turns.
    last_body_hash : str
        Hash of the last committed turn's request: the same turn sent again gets the
        stored answer.
    chunks : tuple of str
        Object names of the committed turns, in order.
    total_tokens : int
        Tokens of the history.
    budget_used, budget_reserved : int
        Of the root: tokens settled, and reserved for turns that may be in flight.
    root_turns : int
        Of the root: turns of the program and its sub-agents.
    root_calls : int
        Of the root: calls of plain services, as of the last commit.
    started_at : float
        Of the root: wall-clock seconds of its first turn; 0 when unknown.
    targets : tuple of str
        Engines that may hold its cache.
    holder : str
        Of the root: slot, zone and epoch that made the reservations. Another holder
        counts them as spent, since nobody can tell what became of those turns.
    term : int
        Of the root: counts changes of the holder. A zone can serve a program, lose
        it to another zone and get it back while one of its turns is still running;
        that turn's reservation was counted as spent in between.
    state : ProgramState
        An ended program takes no more calls.
    version : int
        Version of the row; 0 when there is none yet.
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
        """Whether order and budget are decided by this row itself."""
        return self.root == self.program
