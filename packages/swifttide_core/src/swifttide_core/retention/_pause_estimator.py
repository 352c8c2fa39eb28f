"""Estimates the tool pauses of each profile from the pauses observed."""

SMOOTHING_FACTOR = 0.1
"""Weight of the newest pause; the estimate covers about the last ten pauses."""


class PauseEstimator:
    """Exponential moving mean and mean deviation of the pauses of each profile.

    Notes
    -----
    The upper bound is the mean plus two mean deviations, similar to TCP's
    retransmission timer [1]_. Pauses have a skewed distribution. With the mean alone,
    the cache of every second program would be dropped before the program resumes.

    References
    ----------
    .. [1] V. Paxson et al., RFC 6298.
    """

    def __init__(self) -> None:
        self._seen: dict[str, tuple[float, float]] = {}

    def observe(self, profile: str, pause_seconds: float) -> None:
        """Update the estimate with a pause that has ended."""
        if profile not in self._seen:
            self._seen[profile] = (pause_seconds, pause_seconds / 2)
            return
        mean, deviation = self._seen[profile]
        error = pause_seconds - mean
        mean += SMOOTHING_FACTOR * error
        deviation += SMOOTHING_FACTOR * (abs(error) - deviation)
        self._seen[profile] = (mean, deviation)

    def upper_bound_seconds(self, profile: str, default_seconds: float) -> float:
        """Return a duration in seconds that few pauses of the profile exceed.

        Parameters
        ----------
        profile : str
            Name of the profile.
        default_seconds : float
            Mean pause from the profile's settings, used until a pause is observed.
        """
        mean, deviation = self._seen.get(
            profile, (default_seconds, default_seconds / 2)
        )
        return mean + 2 * deviation
