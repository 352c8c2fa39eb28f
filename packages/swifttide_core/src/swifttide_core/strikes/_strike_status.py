"""What a strike book says of a request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Clear:
    """Nothing is held against the request."""


@dataclass(frozen=True, slots=True)
class Suspect:
    """One target died under it: run it at a target that runs no other suspect.

    Two suspects that die together at their second target would both be refused,
    though only one of them crashes targets.
    """


@dataclass(frozen=True, slots=True)
class Refused:
    """Two targets died under it.

    Parameters
    ----------
    retry_after_seconds : float
        Until it may be tried again.
    """

    retry_after_seconds: float
