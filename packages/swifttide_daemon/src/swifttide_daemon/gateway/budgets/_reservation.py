"""Tokens of a program at one host, and their reservation for a turn."""

import asyncio
from dataclasses import dataclass, field

from swifttide_core.budgets import ProgramAccount, TokenPool


@dataclass(frozen=True, slots=True)
class UnansweredWrite:
    """Write of an account that got no answer and may have taken effect.

    Parameters
    ----------
    mark : str
        Id of the transaction, which its row would have.
    tokens : int
        Tokens that it grants; negative if it returns some.
    """

    mark: str
    tokens: int


@dataclass(slots=True)
class LocalProgramBudget:
    """Tokens and last known account of one program at this host, by the program's key.

    The lock is held while tokens are acquired. ``account`` and ``version`` are those of
    the row as last read or written; they are None and 0 if there was none.
    """

    key: str
    pool: TokenPool = field(default_factory=TokenPool)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    account: ProgramAccount | None = None
    version: int = 0
    marks: tuple[str, ...] = ()
    """Ids of the transactions that wrote the account, the newest first."""
    moved_to: str = ""
    """Host that withdrew tokens from this host last, and may have some left."""
    unanswered: UnansweredWrite | None = None
    """Last write of the account whose outcome isn't known yet."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens reserved for one turn.

    Parameters
    ----------
    program : object
        Tokens of the program at this host.
    tokens : int
        Number of reserved tokens.
    is_partial : bool
        Whether fewer tokens are reserved than the turn may generate. The turn must
        then be aborted when they are used up.
    """

    program: LocalProgramBudget
    tokens: int
    is_partial: bool = False
