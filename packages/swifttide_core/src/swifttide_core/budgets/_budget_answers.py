"""Answers of a program's budget."""

from dataclasses import dataclass
from enum import StrEnum


class BudgetLimit(StrEnum):
    """Which limit a program has reached."""

    TOKENS = "tokens"
    TURNS = "turns"
    CALLS = "calls"
    TIME = "time"


@dataclass(frozen=True, slots=True)
class Reserved:
    """The turn or call may be dispatched.

    Parameters
    ----------
    tokens : int
        What is reserved; give the engine no larger bound than this allows.
    """

    tokens: int


@dataclass(frozen=True, slots=True)
class BudgetRefused:
    """The turn or call is not dispatched, hence not run.

    Parameters
    ----------
    limit : BudgetLimit
        What is used up.
    detail : str
        One sentence with the wanted and the remaining amount.
    final : bool
        Whether the program has ended: nothing that is still running can make
        room for another turn.
    """

    limit: BudgetLimit
    detail: str
    final: bool
