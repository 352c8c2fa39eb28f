"""States of a non-repeatable call's state machine."""

from dataclasses import dataclass

from swifttide_core.intents._call_action import Refuse, Reply
from swifttide_core.intents._intent_row import IntentRow


@dataclass(frozen=True, slots=True)
class Reading:
    """The journal is being read; the call hasn't been dispatched."""

    wanted: IntentRow


@dataclass(frozen=True, slots=True)
class Writing:
    """The intent is being written; the call hasn't been dispatched."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class Dispatched:
    """The call may have reached a target; it is never sent again."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class Recording:
    """The outcome is being written to the journal.

    Parameters
    ----------
    row : IntentRow
        Row with the outcome.
    pending_reply : Reply, Refuse or None
        Action that answers the caller; None once it has been returned.
    """

    row: IntentRow
    pending_reply: Reply | Refuse | None


@dataclass(frozen=True, slots=True)
class Undoing:
    """The caller was refused; an intent that may be stored is being marked not run."""

    row: IntentRow


@dataclass(frozen=True, slots=True)
class Finished:
    """The call has ended; no further action follows."""


CallState = Reading | Writing | Dispatched | Recording | Undoing | Finished
