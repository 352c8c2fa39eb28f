"""How fast targets are, learned from the time to the first event of turns.

Load pattern: some targets turn slow without warning, and say that they are well.

Without it: turns go on to them until their callers give up.
"""

import statistics
from dataclasses import dataclass

LATENCY_GAIN = 0.1
"""Weight of the newest turn in what is known of a target's speed."""

HALF_LIFE_SECONDS = 4.0
"""What is known of a target's speed counts half after so long."""

MIN_SLOWNESS = 2.5
"""Times the median that a target needs for a first event before it counts as slow: long
prompts and a full batch make twice as much."""

MAX_SLOWNESS = 8.0


@dataclass(slots=True)
class _Latency:
    first_seconds: float
    observed_at: float


class TargetLatencies:
    """Tells which targets are slower than the others.

    Times are monotonic seconds.
    """

    def __init__(self):
        self._latencies: dict[str, _Latency] = {}

    def observe(self, target: str, first_seconds: float, now: float) -> None:
        """Take the time from a turn's sending to its first event."""
        known = self._latencies.get(target)
        if known is None:
            self._latencies[target] = _Latency(first_seconds, now)
            return
        known.first_seconds += (first_seconds - known.first_seconds) * LATENCY_GAIN
        known.observed_at = now

    def forget(self, target: str) -> None:
        """Drop what is known of a target."""
        self._latencies.pop(target, None)

    def median_seconds(self, now: float) -> float:
        """Return the median of targets that served turns lately; 0 without any."""
        fresh = [
            s.first_seconds
            for s in self._latencies.values()
            if now - s.observed_at < HALF_LIFE_SECONDS
        ]
        return statistics.median(fresh) if fresh else 0.0

    def slowness(self, target: str, typical: float, now: float) -> float:
        """Return how many times as long as others a target needs, 1 if about so."""
        known = self._latencies.get(target)
        if known is None or not typical:
            return 1.0
        ratio = known.first_seconds / typical
        if ratio < MIN_SLOWNESS:
            return 1.0
        age = max(0.0, now - known.observed_at)
        faded = 1.0 + (ratio - 1.0) * 0.5 ** (age / HALF_LIFE_SECONDS)
        return min(MAX_SLOWNESS, faded)
