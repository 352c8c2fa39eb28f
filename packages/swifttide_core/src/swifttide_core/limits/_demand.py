"""Exponentially smoothed rate of arrivals."""

import math

DEFAULT_TIME_CONSTANT_SECONDS = 2.0
"""Default time constant. Arrivals of this age have a weight of about one third."""


class SmoothedDemand:
    """Exponentially smoothed rate of arrivals per second.

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
        """Return the smoothed arrivals per second."""
        self._decay(now)
        return self._sum / self.time_constant_seconds

    def _decay(self, now):
        if now > self._updated_at:
            age = now - self._updated_at
            self._sum *= math.exp(-age / self.time_constant_seconds)
            self._updated_at = now
