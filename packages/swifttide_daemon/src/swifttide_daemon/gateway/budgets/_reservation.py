"""Tokens of programs at one host."""

import asyncio
from dataclasses import dataclass, field

from swifttide_core.budgets import ProgramAccount, TokenPool


@dataclass(slots=True)
class LocalProgramBudget:
    """What one host knows of a program's budget."""

    pool: TokenPool = field(default_factory=TokenPool)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    account: ProgramAccount | None = None
    version: int = 0
    moved_to: str = ""
    """Host that took this one's tokens last: it may have some."""


@dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens set aside for one turn.

    Parameters
    ----------
    program : object
        The keeper's record of the program.
    most : int
        Tokens set aside.
    is_cut : bool
        Whether these are fewer than the turn may generate: it must be broken off
        where they end.
    """

    program: LocalProgramBudget
    tokens: int
    is_partial: bool = False
