"""Intents: the journal of calls that may not be repeated."""

from swifttide_core.intents._intent_row import IntentRow, IntentState
from swifttide_core.intents._intent_rules import (
    AnswerStored,
    IntentDecision,
    RefuseIntent,
    WriteIntent,
    decide_intent,
    unknown_outcome,
)

__all__ = [
    "AnswerStored",
    "IntentDecision",
    "IntentRow",
    "IntentState",
    "RefuseIntent",
    "WriteIntent",
    "decide_intent",
    "unknown_outcome",
]
