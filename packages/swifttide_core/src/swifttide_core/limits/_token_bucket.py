"""A token bucket on the caller's clock."""

TOKEN_TOLERANCE = 1e-9
"""Tokens by which rounding may fall short of a whole one."""


class TokenBucket:
    """Bucket that fills at a rate up to a burst.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : float
        Most tokens that it holds.
    level : float
        Tokens that it holds at ``now``.
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
        """Return a bucket that nobody has used yet."""
        return cls(rate, burst, burst, now)

    @classmethod
    def empty(cls, rate: float, burst: float, now: float) -> "TokenBucket":
        """Return a bucket of whose past use nothing is known."""
        return cls(rate, burst, 0.0, now)

    def refill(self, now: float, room: float | None = None) -> None:
        """Add what has come in since the last call.

        Parameters
        ----------
        now : float
            Monotonic seconds; a time before the last call changes nothing.
        room : float or None
            Level at which filling stops, when it is below the burst.
        """
        if now <= self.updated_at:
            return
        cap = self.burst if room is None else room
        filled = self.level + self.rate * (now - self.updated_at)
        self.level = max(self.level, min(filled, cap))
        self.updated_at = now

    def take(self, now: float, tokens: float = 1.0) -> bool:
        """Take tokens, all or none; return whether they were there."""
        self.refill(now)
        if self.level + TOKEN_TOLERANCE < tokens:
            return False
        self.level = max(0.0, self.level - tokens)
        return True

    def seconds_until(self, now: float, tokens: float = 1.0) -> float:
        """Return the seconds until it holds ``tokens``; infinite if it never will."""
        self.refill(now)
        if self.level + TOKEN_TOLERANCE >= tokens:
            return 0.0
        if tokens > self.burst + TOKEN_TOLERANCE or self.rate <= 0.0:
            return float("inf")
        return (tokens - self.level) / self.rate
