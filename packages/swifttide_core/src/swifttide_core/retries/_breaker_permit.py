"""Answers of a circuit breaker."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BreakerPermit:
    """The request may go; report its result with this.

    Parameters
    ----------
    number : int
        Tells the probe's result from late results of older requests.
    """

    number: int


@dataclass(frozen=True, slots=True)
class Blocked:
    """The target is left alone.

    Parameters
    ----------
    retry_after_seconds : float
        Until the next probe may go.
    """

    retry_after_seconds: float
