"""Measured demand."""

import math

MEMORY_SECONDS = 2.0
"""Time constant: a spell this long ago counts for about a third."""


class Demand:
    """Arrivals a second, exponentially smoothed.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    memory_seconds : float
        Time constant of the smoothing.
    """

    def __init__(self, now, memory_seconds=MEMORY_SECONDS):
        self.memory_seconds = memory_seconds
        self._sum = 0.0
        self._updated_at = now

    def arrive(self, now: float, n: float = 1.0) -> None:
        """Count arrivals."""
        self._decay(now)
        self._sum += n

    def rate(self, now: float) -> float:
        """Return arrivals a second."""
        self._decay(now)
        return self._sum / self.memory_seconds

    def _decay(self, now):
        if now > self._updated_at:
            age = now - self._updated_at
            self._sum *= math.exp(-age / self.memory_seconds)
            self._updated_at = now
