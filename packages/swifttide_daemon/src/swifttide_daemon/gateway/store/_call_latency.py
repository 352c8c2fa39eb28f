"""Timeouts of calls to the store, from the time that it takes to answer of late."""

HEDGE_DELAY_SECONDS = 0.2
"""Time after which a call without an answer is sent again, first on a new connection
and then through another host. It is fifteen times the usual duration of a call. The
answer may have been lost, or the connection may be dead."""

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout for all attempts of a call together, while the store works normally."""

HEDGE_LATENCY_FACTOR = 1.5
"""Multiple of the recent call latency after which the next attempt starts, if that is
later than `HEDGE_DELAY_SECONDS`. A slow store still answers, and duplicate calls would
slow it down further."""

TIMEOUT_LATENCY_FACTOR = 3.0
"""Multiple of the recent call latency after which a call times out, if that is later
than `CALL_TIMEOUT_SECONDS`."""

MAX_CALL_TIMEOUT_SECONDS = 2.0
"""Upper limit of the timeout of a call: callers disconnect after two seconds without an
event."""

LATENCY_DECAY_WEIGHT = 0.2
"""Weight of a new latency sample that is below the recent latency. A sample above it
replaces the recent latency at once."""


class CallLatency:
    """Recent duration of calls, and the timeouts that follow from it."""

    def __init__(self):
        self._recent_seconds = 0.0

    def record(self, seconds: float) -> None:
        """Record the duration of a call that was answered."""
        decayed = (
            self._recent_seconds
            + (seconds - self._recent_seconds) * LATENCY_DECAY_WEIGHT
        )
        self._recent_seconds = max(seconds, decayed)

    @property
    def timeout_seconds(self) -> float:
        """Timeout for all attempts of a call together."""
        usual = TIMEOUT_LATENCY_FACTOR * self._recent_seconds
        return min(MAX_CALL_TIMEOUT_SECONDS, max(CALL_TIMEOUT_SECONDS, usual))

    @property
    def hedge_seconds(self) -> float:
        """Time without an answer after which the next attempt starts."""
        return max(HEDGE_DELAY_SECONDS, HEDGE_LATENCY_FACTOR * self._recent_seconds)
