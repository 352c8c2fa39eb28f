"""State machine of chat turns, with the order of turns and the budget of programs.

A program is a sequence of calls by which a caller pursues one task; a turn is one of
its calls to a model. A root program may start sub-agents, which are programs that share
its budget.
"""

from swifttide_core.programs._budget_rules import (
    check_limits,
    count_unknown_as_spent,
    reserve,
    settle,
)
from swifttide_core.programs._program_row import ProgramRow, ProgramState
from swifttide_core.programs._turn import Turn
from swifttide_core.programs._turn_action import (
    PutChunk,
    ReadRows,
    RefuseRequest,
    ReplyTurn,
    RunModel,
    TurnAction,
    WriteRows,
)
from swifttide_core.programs._turn_event import (
    ChunkStored,
    ModelAnswered,
    ModelFailed,
    ModelUnreached,
    RowsConflict,
    RowsRead,
    RowsWritten,
    SlotLost,
    StoreFailed,
    TurnEvent,
    TurnGivenUp,
)
from swifttide_core.programs._turn_machine import TurnStep, start_turn, step_turn
from swifttide_core.programs._turn_order import (
    RefuseTurn,
    ReplayTurn,
    RunTurn,
    TurnDecision,
    decide_turn,
)
from swifttide_core.programs._turn_request import TurnRequest
from swifttide_core.programs._turn_state import (
    Committing,
    ReadingRows,
    Releasing,
    Reserving,
    Running,
    Settled,
    Storing,
    TurnState,
)

__all__ = [
    "ChunkStored",
    "Committing",
    "ModelAnswered",
    "ModelFailed",
    "ModelUnreached",
    "ProgramRow",
    "ProgramState",
    "PutChunk",
    "ReadRows",
    "ReadingRows",
    "RefuseRequest",
    "RefuseTurn",
    "Releasing",
    "ReplayTurn",
    "ReplyTurn",
    "Reserving",
    "RowsConflict",
    "RowsRead",
    "RowsWritten",
    "RunModel",
    "RunTurn",
    "Running",
    "Settled",
    "SlotLost",
    "StoreFailed",
    "Storing",
    "Turn",
    "TurnAction",
    "TurnDecision",
    "TurnEvent",
    "TurnGivenUp",
    "TurnRequest",
    "TurnState",
    "TurnStep",
    "WriteRows",
    "check_limits",
    "decide_turn",
    "count_unknown_as_spent",
    "reserve",
    "settle",
    "start_turn",
    "step_turn",
]
