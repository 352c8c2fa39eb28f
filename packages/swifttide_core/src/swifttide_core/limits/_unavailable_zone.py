"""What is known of a zone that had no whole token."""

from swifttide_core.limits._rate_refused import RateRefused

MAX_REFUSAL_CACHE_SECONDS = 1.0
"""Longest that a refusal is believed: tokens that another entry host gives back, a
raised limit or a moved share are seen after this time."""


class UnavailableZone:
    """A zone that had no whole token, or was not reached.

    Parameters
    ----------
    since : float
        Monotonic seconds at which that was known.
    until : float
        Monotonic seconds at which it is worth asking again.
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
        """Remember what a zone's holder said, for at least some seconds."""
        wait = max(
            min(refused.retry_after_seconds, MAX_REFUSAL_CACHE_SECONDS), min_seconds
        )
        return cls(now, now + wait, refused.available, refused.rate, refused.fraction)

    @classmethod
    def from_failure(cls, now: float, seconds: float) -> "UnavailableZone":
        """Remember that a zone's holder did not answer; nothing else is known."""
        return cls(now, now + seconds, 0.0, 0.0, 0.0)

    def expected_tokens(self, now: float) -> float:
        """Return the part of a token that is there, if nobody else takes it."""
        return self.available + self.rate * (now - self.since)

    def as_refusal(self, now: float) -> RateRefused:
        """Return what the zone's holder said, with the wait that remains."""
        wait = max(0.0, self.until - now)
        return RateRefused(wait, self.available, self.rate, self.fraction)
