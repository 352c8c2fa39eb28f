"""Status of a request by the crashes of its targets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Clear:
    """The request has no strikes."""


@dataclass(frozen=True, slots=True)
class Suspect:
    """One target crashed while it executed the request.

    The request must be sent to a target that executes no other suspect. If two suspects
    were at the same target when it crashed, both would be refused, although only one of
    them causes crashes.
    """


@dataclass(frozen=True, slots=True)
class Refused:
    """Two targets crashed while they executed the request.

    Parameters
    ----------
    retry_after_seconds : float
        Time until the request is accepted again.
    """

    retry_after_seconds: float
