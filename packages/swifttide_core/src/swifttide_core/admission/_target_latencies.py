"""Detection of slow targets by the time from sending a turn to its first event.

A target can become slow without warning while its health checks still pass. Without
this module it would get further turns until their callers give up.
"""

import statistics
from dataclasses import dataclass

LATENCY_GAIN = 0.1
"""Weight of the newest turn in the moving average of a target's latency."""

HALF_LIFE_SECONDS = 4.0
"""Time after which the measured slowness of a target counts half, so that the target is
tried again. Older averages do not count towards the median of all targets."""

MIN_SLOWNESS = 2.5
"""Ratio to the median latency from which on a target counts as slow. Long prompts and a
full batch already cause a ratio of 2."""

MAX_SLOWNESS = 8.0
"""Upper bound of the ratio that is returned."""


@dataclass(slots=True)
class _Latency:
    first_seconds: float
    observed_at: float


class TargetLatencies:
    """Moving averages of the time to the first event, by target.

    All times named ``now`` are monotonic seconds.
    """

    def __init__(self):
        self._latencies: dict[str, _Latency] = {}

    def observe(self, target: str, first_seconds: float, now: float) -> None:
        """Update a target's average with the time from sending to first event."""
        known = self._latencies.get(target)
        if known is None:
            self._latencies[target] = _Latency(first_seconds, now)
            return
        known.first_seconds += (first_seconds - known.first_seconds) * LATENCY_GAIN
        known.observed_at = now

    def forget(self, target: str) -> None:
        """Remove the average of a target."""
        self._latencies.pop(target, None)

    def median_seconds(self, now: float) -> float:
        """Return the median of recently updated averages; 0 if there are none."""
        fresh = [
            s.first_seconds
            for s in self._latencies.values()
            if now - s.observed_at < HALF_LIFE_SECONDS
        ]
        return statistics.median(fresh) if fresh else 0.0

    def slowness(self, target: str, median_seconds: float, now: float) -> float:
        """Return the ratio of a target's latency to the median; 1 if it isn't slow.

        Parameters
        ----------
        target : str
        typical : float
            Median latency of all targets, in seconds.
        now : float
        """
        known = self._latencies.get(target)
        if known is None or not median_seconds:
            return 1.0
        ratio = known.first_seconds / median_seconds
        if ratio < MIN_SLOWNESS:
            return 1.0
        age = max(0.0, now - known.observed_at)
        faded = 1.0 + (ratio - 1.0) * 0.5 ** (age / HALF_LIFE_SECONDS)
        return min(MAX_SLOWNESS, faded)
