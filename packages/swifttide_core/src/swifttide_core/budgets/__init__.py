"""Token budgets of programs over all hosts, without I/O."""

from swifttide_core.budgets._program_account import (
    Exhausted,
    Granted,
    ProgramAccount,
    grant_tokens,
)
from swifttide_core.budgets._token_pool import TokenPool

__all__ = ["Exhausted", "Granted", "ProgramAccount", "TokenPool", "grant_tokens"]
