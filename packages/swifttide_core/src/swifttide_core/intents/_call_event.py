"""What a call that may not be repeated is told by its surroundings."""

from dataclasses import dataclass

from swifttide_core.intents._intent_row import IntentRow
from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class RowRead:
    """The journal's row of the call's key was read; None when there is none."""

    row: IntentRow | None


@dataclass(frozen=True, slots=True)
class RowWritten:
    """The last write took effect and made this version of the row."""

    version: int


@dataclass(frozen=True, slots=True)
class RowConflict:
    """The last write didn't take effect: the row has changed since it was read."""


@dataclass(frozen=True, slots=True)
class PlatformFailed:
    """No answer from the platform; the last write may have taken effect."""


@dataclass(frozen=True, slots=True)
class GaveUp:
    """The call's time is up, its caller is gone, or it may no longer be sent.

    Parameters
    ----------
    refusal : Refusal
        Why, as a refusal of a call that hasn't been dispatched.
    """

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """The target answered; the effect took place."""

    status: int
    answer: str
    content_type: str = "application/json"


@dataclass(frozen=True, slots=True)
class TargetUnreached:
    """No byte of the call went out: no connection, or a last check said no.

    Parameters
    ----------
    refusal : Refusal or None
        Why it wasn't sent (its key was withdrawn, its target is leaving); None when
        the connection couldn't be made.
    """

    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class TargetSilent:
    """Bytes went out and no whole answer to this very call came back."""


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
