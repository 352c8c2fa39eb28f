"""Outcome of an admitted call."""

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
    """Outcome of a call, as measured by the host that received it from the caller.

    Parameters
    ----------
    status : OutcomeStatus
        How the call ended; ``NOT_SENT`` calls are not charged to the customer.
    tokens : float or None
        Cost of the call, in the units of ``Ticket.expected_tokens``; None when
        unknown.
    """

    status: OutcomeStatus = OutcomeStatus.FINISHED
    tokens: float | None = None
