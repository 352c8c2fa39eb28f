"""Decisions of a target's queue on a call."""

from dataclasses import dataclass

from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class Admitted:
    """The call may be sent to the target now.

    Parameters
    ----------
    ticket_id : str
        Id of the call.
    expires_at : float
        Time, in monotonic seconds, at which the grant expires unless it is renewed or
        released.
    """

    ticket_id: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class Queued:
    """The call waits; a later decision with the same id admits or refuses it.

    Parameters
    ----------
    ticket_id : str
        Id of the call.
    expected_wait_seconds : float
        Wait estimated from the measured drain rate.
    """

    ticket_id: str
    expected_wait_seconds: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The call was not sent to the target and will not be; the decision is final.

    Parameters
    ----------
    ticket_id : str
        Id of the call.
    refusal : Refusal
        Reason and retry time; its verdict is always ``not_run``.
    try_elsewhere : bool
        Whether the call may be offered to another target at once.
    """

    ticket_id: str
    refusal: Refusal
    try_elsewhere: bool = False


Decision = Admitted | Refused
"""Final decision on a waiting call."""
