"""Journal and state machine of non-repeatable calls, which run at most once.

Before such a call is dispatched, an intent (a write-ahead record) is written to the
journal under the customer and the Idempotency-Key.
"""

from swifttide_core.intents._call_action import (
    CallAction,
    Dispatch,
    ReadRow,
    Refuse,
    Reply,
    WriteRow,
)
from swifttide_core.intents._call_event import (
    CallEvent,
    GaveUp,
    PlatformFailed,
    RowConflict,
    RowRead,
    RowWritten,
    TargetAnswered,
    TargetSilent,
    TargetUnreached,
)
from swifttide_core.intents._call_machine import CallStep, start_call, step_call
from swifttide_core.intents._call_state import (
    CallState,
    Dispatched,
    Finished,
    Reading,
    Recording,
    Undoing,
    Writing,
)
from swifttide_core.intents._intent_row import IntentRow, IntentState
from swifttide_core.intents._intent_rules import (
    IntentDecision,
    RefuseIntent,
    ReplayStoredAnswer,
    WriteIntent,
    decide_intent,
    unknown_outcome,
)

__all__ = [
    "ReplayStoredAnswer",
    "CallAction",
    "CallEvent",
    "CallState",
    "CallStep",
    "Dispatch",
    "Dispatched",
    "Finished",
    "GaveUp",
    "IntentDecision",
    "IntentRow",
    "IntentState",
    "PlatformFailed",
    "ReadRow",
    "Reading",
    "Recording",
    "Refuse",
    "RefuseIntent",
    "Reply",
    "RowConflict",
    "RowRead",
    "RowWritten",
    "TargetAnswered",
    "TargetSilent",
    "TargetUnreached",
    "Undoing",
    "WriteIntent",
    "WriteRow",
    "Writing",
    "decide_intent",
    "start_call",
    "step_call",
    "unknown_outcome",
]
