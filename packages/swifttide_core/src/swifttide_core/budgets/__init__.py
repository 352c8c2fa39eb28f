"""Budgets of programs."""

from swifttide_core.budgets._budget_answers import (
    BudgetLimit,
    BudgetRefused,
    Reserved,
)
from swifttide_core.budgets._budget_limits import BudgetLimits
from swifttide_core.budgets._program_budget import ProgramBudget
from swifttide_core.budgets._reservation import Reservation

__all__ = [
    "BudgetLimit",
    "BudgetLimits",
    "BudgetRefused",
    "ProgramBudget",
    "Reservation",
    "Reserved",
]
