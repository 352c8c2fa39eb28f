"""Events that the state machine of a non-repeatable call receives from its runner."""

from dataclasses import dataclass

from swifttide_core.intents._intent_row import IntentRow
from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class RowRead:
    """The journal's row with the call's key was read; None if there is none."""

    row: IntentRow | None


@dataclass(frozen=True, slots=True)
class RowWritten:
    """The last write took effect; the row now has this version."""

    version: int


@dataclass(frozen=True, slots=True)
class RowConflict:
    """The last write didn't take effect: the row has changed since it was read."""


@dataclass(frozen=True, slots=True)
class PlatformFailed:
    """The platform's store didn't answer; the last write may have taken effect."""


@dataclass(frozen=True, slots=True)
class GaveUp:
    """The deadline has passed, the caller has disconnected, or sending is not allowed.

    Parameters
    ----------
    refusal : Refusal
        Reason, worded for a call that hasn't been dispatched.
    """

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """The target answered, so the call has run."""

    status: int
    answer: str
    content_type: str = "application/json"


@dataclass(frozen=True, slots=True)
class TargetUnreached:
    """No byte of the call was sent.

    Either the connection failed, or a last check before sending forbade it.

    Parameters
    ----------
    refusal : Refusal or None
        Reason of the last check, such as an API key that was withdrawn or a target that
        is leaving; None if the connection failed.
    """

    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class TargetSilent:
    """Bytes of the call were sent, but no complete answer to this call was received."""


CallEvent = (
    RowRead
    | RowWritten
    | RowConflict
    | PlatformFailed
    | GaveUp
    | TargetAnswered
    | TargetUnreached
    | TargetSilent
)
