"""Adaptive bound on the outstanding turns, learned from the duration of turns.

Targets can become slower the fuller they are. In a burst that fills all of their
places, every active program would then end late, although no target queues or sheds
requests.

The bound is a fraction of all places, where a place is one turn that a target runs
concurrently. It falls while turns take much longer than turns at low load, and rises
again otherwise. While it is reached, no new programs are admitted.
"""

MAX_SLOWDOWN = 1.7
"""Ratio of the recent mean duration of turns to that at low load above which the bound
falls. Callers' deadlines are half as long again as their programs take on idle targets,
and turns make up two thirds of that time."""

UPDATE_INTERVAL_SECONDS = 0.2
"""Minimum time between two changes of the bound; about the duration of a turn."""

DECREASE_FACTOR = 0.93
"""Factor by which the bound falls at a change."""

INCREASE_FRACTION = 0.02
"""Fraction of all places by which the bound rises at a change; it rises from its
minimum to all places in some seconds."""

MIN_FRACTION = 0.3
"""Lower bound of the admitted outstanding turns, as a fraction of all places."""

LOW_LOAD_GAIN = 0.005
"""Weight of the newest turn in the mean duration at low load, which covers about two
hundred turns."""

RECENT_GAIN = 0.05
"""Weight of the newest turn in the recent mean duration, which covers about twenty
turns."""


class OutstandingTurnBound:
    """Bound on the outstanding turns at all targets of a service.

    Attributes
    ----------
    fraction : float
        Bound as a fraction of the places at all targets.
    """

    def __init__(self):
        self.fraction = 1.0
        self._low_load_seconds: float | None = None
        self._recent_seconds: float | None = None
        self._changed_at = float("-inf")

    def observe(
        self, seconds: float, is_low_load: bool, is_bound_reached: bool, now: float
    ) -> None:
        """Adapt the bound to the duration of a turn that ended.

        Parameters
        ----------
        seconds : float
            Time from the turn's placement to its end.
        is_low_load : bool
            Whether most places were free when the turn was placed.
        is_bound_reached : bool
            Whether the bound is reached now; otherwise it can't be the cause of slow
            turns and does not fall.
        now : float
            Monotonic seconds.
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
