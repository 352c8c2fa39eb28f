"""Decision to retry a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Retry:
    """The request is retried, at another target if there is one.

    Parameters
    ----------
    after_seconds : float
        Delay before the retry.
    """

    after_seconds: float
