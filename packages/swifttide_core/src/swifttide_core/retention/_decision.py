"""What becomes of a paused program's cache."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Keep:
    """Leave the cache at the engine.

    Parameters
    ----------
    until : float
        Time at which to decide again, or to release it.
    """

    until: float


@dataclass(frozen=True, slots=True)
class Export:
    """Copy the cache to the object store and release it at the engine."""


@dataclass(frozen=True, slots=True)
class Drop:
    """Release the cache; the next call computes its prompt again."""


RetentionDecision = Keep | Export | Drop
"""One of the three."""
