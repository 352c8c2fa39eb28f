"""Answers of a target's queue."""

from dataclasses import dataclass

from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class Admitted:
    """The call may be sent now.

    Parameters
    ----------
    ticket_id : str
        Id of the call.
    expires_at : float
        Time at which the grant expires unless it is renewed or released.
    """

    ticket_id: str
    expires_at: float


@dataclass(frozen=True, slots=True)
class Queued:
    """The call waits; a later decision names it.

    Parameters
    ----------
    ticket_id : str
        Id of the call.
    expected_wait_seconds : float
        Estimate from the measured drain rate.
    """

    ticket_id: str
    expected_wait_seconds: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The call was not sent and won't be: the answer is final.

    Parameters
    ----------
    ticket_id : str
        Id of the call.
    refusal : Refusal
        Always ``not_run``, with when to come back.
    try_elsewhere : bool
        Whether another target may take the call at once.
    """

    ticket_id: str
    refusal: Refusal
    try_elsewhere: bool = False


Decision = Admitted | Refused
"""What a call that waits is told later."""
