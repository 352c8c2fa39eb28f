"""Cached information about a zone that had no whole token or did not answer."""

from swifttide_core.limits._rate_refused import RateRefused

MAX_REFUSAL_CACHE_SECONDS = 1.0
"""Maximum time for which a refusal is cached. Tokens that another entry host returns, a
raised limit or a transferred share are noticed after this time."""


class UnavailableZone:
    """Zone that had no whole token, or whose holder was not reached.

    Parameters
    ----------
    since : float
        Time of the answer or failure, in monotonic seconds.
    until : float
        Time from which the zone may be asked again, in monotonic seconds.
    available, rate, fraction : float
        As in ``RateRefused``.
    """

    def __init__(self, since, until, available, rate, fraction):
        self.since = since
        self.until = until
        self.available = available
        self.rate = rate
        self.fraction = fraction

    @classmethod
    def from_refusal(
        cls, now: float, refused: RateRefused, min_seconds: float = 0.0
    ) -> "UnavailableZone":
        """Create the entry from the refusal of a zone's holder.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        refused : RateRefused
            Answer of the holder.
        min_seconds : float
            Minimum time for which the refusal is cached.
        """
        wait = max(
            min(refused.retry_after_seconds, MAX_REFUSAL_CACHE_SECONDS), min_seconds
        )
        return cls(now, now + wait, refused.available, refused.rate, refused.fraction)

    @classmethod
    def from_failure(cls, now: float, seconds: float) -> "UnavailableZone":
        """Create the entry for a holder that did not answer, valid for ``seconds``."""
        return cls(now, now + seconds, 0.0, 0.0, 0.0)

    def expected_tokens(self, now: float) -> float:
        """Return the tokens available now if no other host has drawn any."""
        return self.available + self.rate * (now - self.since)

    def as_refusal(self, now: float) -> RateRefused:
        """Return the refusal of the zone's holder with the remaining wait."""
        wait = max(0.0, self.until - now)
        return RateRefused(wait, self.available, self.rate, self.fraction)
