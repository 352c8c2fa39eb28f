"""Measured demand."""

import math

DEFAULT_TIME_CONSTANT_SECONDS = 2.0
"""Time constant: a spell this long ago counts for about a third."""


class SmoothedDemand:
    """Arrivals a second, exponentially smoothed.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    time_constant_seconds : float
        Time constant of the smoothing.
    """

    def __init__(self, now, time_constant_seconds=DEFAULT_TIME_CONSTANT_SECONDS):
        self.time_constant_seconds = time_constant_seconds
        self._sum = 0.0
        self._updated_at = now

    def record(self, now: float, n: float = 1.0) -> None:
        """Count arrivals."""
        self._decay(now)
        self._sum += n

    def rate(self, now: float) -> float:
        """Return arrivals a second."""
        self._decay(now)
        return self._sum / self.time_constant_seconds

    def _decay(self, now):
        if now > self._updated_at:
            age = now - self._updated_at
            self._sum *= math.exp(-age / self.time_constant_seconds)
            self._updated_at = now
