"""Token bucket whose time is passed in by the caller."""

TOKEN_TOLERANCE = 1e-9
"""Rounding error, in tokens, by which a level may fall short of a whole token."""


class TokenBucket:
    """Token bucket that is refilled at a constant rate up to a burst.

    Parameters
    ----------
    rate : float
        Refill rate in tokens per second.
    burst : float
        Maximum number of tokens.
    level : float
        Number of tokens at ``now``.
    now : float
        Monotonic seconds.
    """

    def __init__(self, rate, burst, level, now):
        self.rate = rate
        self.burst = burst
        self.level = level
        self.updated_at = now

    @classmethod
    def full(cls, rate: float, burst: float, now: float) -> "TokenBucket":
        """Return a full bucket, which has not been used yet."""
        return cls(rate, burst, burst, now)

    @classmethod
    def empty(cls, rate: float, burst: float, now: float) -> "TokenBucket":
        """Return an empty bucket, for one whose past use is unknown."""
        return cls(rate, burst, 0.0, now)

    def refill(self, now: float, room: float | None = None) -> None:
        """Add the tokens that have accrued since the last call.

        Parameters
        ----------
        now : float
            Monotonic seconds; a time before the last call changes nothing.
        room : float or None
            Level at which the refill stops; None for the burst.
        """
        if now <= self.updated_at:
            return
        cap = self.burst if room is None else room
        filled = self.level + self.rate * (now - self.updated_at)
        self.level = max(self.level, min(filled, cap))
        self.updated_at = now

    def take(self, now: float, tokens: float = 1.0) -> bool:
        """Take all of the tokens or none; return whether they were taken."""
        self.refill(now)
        if self.level + TOKEN_TOLERANCE < tokens:
            return False
        self.level = max(0.0, self.level - tokens)
        return True

    def seconds_until(self, now: float, tokens: float = 1.0) -> float:
        """Return the seconds until ``tokens`` are there; infinite if they never are."""
        self.refill(now)
        if self.level + TOKEN_TOLERANCE >= tokens:
            return 0.0
        if tokens > self.burst + TOKEN_TOLERANCE or self.rate <= 0.0:
            return float("inf")
        return (tokens - self.level) / self.rate
