"""What became of an admitted call."""

from dataclasses import dataclass
from enum import StrEnum


class OutcomeStatus(StrEnum):
    """How a call at a target ended."""

    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the entry host measured of a call that it releases.

    Parameters
    ----------
    status : OutcomeStatus
        ``NOT_SENT`` calls are not charged to the customer.
    tokens : float or None
        Tokens computed, in the units of ``Ticket.expected_tokens``; None when
        unknown.
    first_token_seconds : float or None
        From dispatch to the first token; for traces, admission does not use it.
    uncached_tokens : float
        Part of the prompt that the engine had to compute; for traces.
    """

    status: OutcomeStatus = OutcomeStatus.FINISHED
    tokens: float | None = None
    first_token_seconds: float | None = None
    uncached_tokens: float = 0.0
