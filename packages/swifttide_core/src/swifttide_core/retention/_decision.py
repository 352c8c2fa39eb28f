"""Possible decisions on the cache of a paused program."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Keep:
    """Keep the cache at the engine.

    Parameters
    ----------
    until : float
        Time at which the cache is dropped unless the program has resumed, in seconds
        of a monotonic clock.
    """

    until: float


@dataclass(frozen=True, slots=True)
class Export:
    """Copy the cache to the object store, then release it at the engine."""


@dataclass(frozen=True, slots=True)
class Drop:
    """Release the cache. The next call computes its prompt again."""


RetentionDecision = Keep | Export | Drop
"""Decision on the cache of a paused program."""
