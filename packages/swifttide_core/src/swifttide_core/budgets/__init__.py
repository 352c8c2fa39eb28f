"""Rules of the token budgets that all hosts share for each program, without I/O."""

from swifttide_core.budgets._idle_programs import IDLE_SECONDS, IdlePrograms
from swifttide_core.budgets._lending_state import MIN_LENDING_DELAY_MS, LendingState
from swifttide_core.budgets._outage_slots import N_SLOTS, plan_slots, slot_of
from swifttide_core.budgets._program_account import (
    Exhausted,
    Granted,
    ProgramAccount,
    grant_tokens,
)
from swifttide_core.budgets._token_pool import TokenPool
from swifttide_core.budgets._turn_size_estimate import TurnSizeEstimate

__all__ = [
    "IDLE_SECONDS",
    "N_SLOTS",
    "MIN_LENDING_DELAY_MS",
    "Exhausted",
    "Granted",
    "IdlePrograms",
    "LendingState",
    "ProgramAccount",
    "TokenPool",
    "TurnSizeEstimate",
    "grant_tokens",
    "plan_slots",
    "slot_of",
]
