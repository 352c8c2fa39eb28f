"""Expected tool pause of a profile, learned from the pauses seen."""

SMOOTHING_FACTOR = 0.1
"""Share of the newest pause; some ten pauses make up the estimate."""


class PauseEstimator:
    """Moving mean and mean deviation of the pauses of each profile.

    Notes
    -----
    Mean plus two deviations, as TCP does for its retransmission timer [1]_: pauses
    are skewed, and a mean alone would let go of the cache of every second program.

    References
    ----------
    .. [1] V. Paxson et al., RFC 6298.
    """

    def __init__(self) -> None:
        self._seen: dict[str, tuple[float, float]] = {}

    def observe(self, profile: str, pause_seconds: float) -> None:
        """Learn from a pause that ended."""
        if profile not in self._seen:
            self._seen[profile] = (pause_seconds, pause_seconds / 2)
            return
        mean, deviation = self._seen[profile]
        error = pause_seconds - mean
        mean += SMOOTHING_FACTOR * error
        deviation += SMOOTHING_FACTOR * (abs(error) - deviation)
        self._seen[profile] = (mean, deviation)

    def upper_bound_seconds(self, profile: str, default_seconds: float) -> float:
        """Return a pause that is seldom exceeded.

        Parameters
        ----------
        profile : str
            Name of the profile.
        default_seconds : float
            The profile's own setting, used until a pause was seen.
        """
        mean, deviation = self._seen.get(
            profile, (default_seconds, default_seconds / 2)
        )
        return mean + 2 * deviation
