"""Outcomes of a request for a token."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Granted:
    """The request got a token and may proceed."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits for a token behind earlier requests."""


@dataclass(frozen=True, slots=True)
class Denied:
    """No token is available, and the request does not wait.

    Parameters
    ----------
    seconds : float
        Expected time until a token is available after all waiting requests were served.
    """

    seconds: float


TokenDecision = Granted | Queued | Denied
