"""Results of asking a circuit breaker for permission to send a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class BreakerPermit:
    """The request may be sent. The permit must be passed with the report of its result.

    Parameters
    ----------
    number : int
        Number that distinguishes the result of a probe from late results of older
        requests.
    """

    number: int


@dataclass(frozen=True, slots=True)
class Blocked:
    """The request must not be sent to the target.

    Parameters
    ----------
    retry_after_seconds : float
        Time until the next probe may be sent.
    """

    retry_after_seconds: float
