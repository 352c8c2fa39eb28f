"""What became of a request for a token."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Granted:
    """The request may go on."""


@dataclass(frozen=True, slots=True)
class Queued:
    """It waits behind those that came before."""


@dataclass(frozen=True, slots=True)
class Denied:
    """There is no token for it.

    Parameters
    ----------
    seconds : float
        Until there is one, if those that wait now are served first.
    """

    seconds: float


TokenDecision = Granted | Queued | Denied
