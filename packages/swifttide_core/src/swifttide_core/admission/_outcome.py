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
    """

    status: OutcomeStatus = OutcomeStatus.FINISHED
    tokens: float | None = None
