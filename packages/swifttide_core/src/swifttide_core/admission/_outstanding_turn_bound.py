"""How many turns targets bear, learned from how long turns take.

Load pattern: a burst fills all places of targets that are slower the fuller they are.

Without it: every program under way ends late, though no target queues or sheds.
"""

MAX_SLOWDOWN = 1.7
"""Times as long as in calm that turns may take: callers' aims are half as long again as
their programs take on idle targets, and turns are two thirds of that."""

UPDATE_INTERVAL_SECONDS = 0.2
"""Between changes of the bound: about a turn's time."""

DECREASE_FACTOR = 0.93
INCREASE_FRACTION = 0.02
"""Of the places; the bound is back from its least in some seconds."""

MIN_FRACTION = 0.3

LOW_LOAD_GAIN = 0.005
RECENT_GAIN = 0.05
"""Weight of the newest turn: some two hundred in calm, twenty of late."""


class OutstandingTurnBound:
    """Learns how many turns targets bear.

    Attributes
    ----------
    part : float
        Turns that they bear, as a part of their places.
    """

    def __init__(self):
        self.fraction = 1.0
        self._low_load_seconds: float | None = None
        self._recent_seconds: float | None = None
        self._changed_at = float("-inf")

    def observe(
        self, seconds: float, is_low_load: bool, is_bound_reached: bool, now: float
    ) -> None:
        """Take how long a turn took.

        Parameters
        ----------
        seconds : float
        is_calm : bool
            Whether targets were mostly empty as it was sent.
        is_full : bool
            Whether the bound is used up now; else it has nothing to do with it.
        now : float
        """
        if is_low_load:
            self._low_load_seconds = _moving_mean(
                self._low_load_seconds, seconds, LOW_LOAD_GAIN
            )
        self._recent_seconds = _moving_mean(self._recent_seconds, seconds, RECENT_GAIN)
        if (
            self._low_load_seconds is None
            or now - self._changed_at < UPDATE_INTERVAL_SECONDS
        ):
            return
        self._changed_at = now
        if (
            self._recent_seconds > MAX_SLOWDOWN * self._low_load_seconds
            and is_bound_reached
        ):
            self.fraction = max(MIN_FRACTION, self.fraction * DECREASE_FACTOR)
        elif self._recent_seconds < MAX_SLOWDOWN * self._low_load_seconds:
            self.fraction = min(1.0, self.fraction + INCREASE_FRACTION)


def _moving_mean(mean, value, gain) -> float:
    return value if mean is None else mean + (value - mean) * gain
