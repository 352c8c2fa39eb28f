"""Programs: order of turns, history and budget."""

from swifttide_core.programs._budget_rules import keep_unknown, reserve, settle
from swifttide_core.programs._program_row import ProgramRow, ProgramState
from swifttide_core.programs._turn_order import (
    RefuseTurn,
    ReplayTurn,
    RunTurn,
    TurnDecision,
    decide_turn,
)
from swifttide_core.programs._turn_request import TurnRequest

__all__ = [
    "ProgramRow",
    "ProgramState",
    "RefuseTurn",
    "ReplayTurn",
    "RunTurn",
    "TurnDecision",
    "TurnRequest",
    "decide_turn",
    "keep_unknown",
    "reserve",
    "settle",
]
