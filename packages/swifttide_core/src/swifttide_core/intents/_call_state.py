"""How far a call that may not be repeated has got."""

from dataclasses import dataclass

from swifttide_core.intents._call_action import Refuse, Reply
from swifttide_core.intents._intent_row import IntentRow


@dataclass(frozen=True, slots=True)
class Reading:
    """The journal is being read; nothing was dispatched."""

    wanted: IntentRow


@dataclass(frozen=True, slots=True)
class Writing:
    """The intent is being written; nothing was dispatched."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class Dispatched:
    """The call may be on its way to a target; it is never sent again."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class Recording:
    """The outcome is being written.

    Parameters
    ----------
    row : IntentRow
        Row with its outcome.
    pending : Reply, Refuse or None
        What the caller is still to get; None once it got it.
    """

    row: IntentRow
    pending_reply: Reply | Refuse | None


@dataclass(frozen=True, slots=True)
class Undoing:
    """The caller has its refusal; an intent that may be written is marked not run."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class Finished:
    """Nothing more is to be done."""


CallState = Reading | Writing | Dispatched | Recording | Undoing | Finished
