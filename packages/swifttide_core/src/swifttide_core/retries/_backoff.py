"""Delay before a retry.

Load pattern: many requests fail at the same time, when a target fails or a connection
is lost, and would all be retried at the same time.

Without a random delay, the retries would arrive as one burst, repeatedly. With full
jitter, a delay is drawn uniformly below an exponentially growing bound, which spreads
the retries evenly over the interval. The initial bound of 50 ms is several round trips
between zones; the maximum of 2 s is small compared with the deadline of a program.
"""

import random

BASE_DELAY_SECONDS = 0.05
"""Upper bound of the first delay."""

MAX_DELAY_SECONDS = 2.0
"""Upper bound of all delays."""


class Backoff:
    """Exponential backoff with full jitter.

    Parameters
    ----------
    rng : random.Random
        Random generator for the jitter.
    base_seconds : float
        Upper bound of the first delay. It doubles with each further attempt.
    max_seconds : float
        Upper bound of all delays.
    """

    def __init__(
        self, rng, base_seconds=BASE_DELAY_SECONDS, max_seconds=MAX_DELAY_SECONDS
    ):
        self.rng = rng
        self.base_seconds = base_seconds
        self.max_seconds = max_seconds

    @classmethod
    def from_seed(cls, seed: int) -> "Backoff":
        """Return a backoff with reproducible delays."""
        return cls(random.Random(seed))

    def next_delay(self, n_attempts: int) -> float:
        """Return the delay in seconds after the first ``n_attempts`` attempts."""
        # A large power of 2.0 overflows. No bound needs more than 30 doublings.
        n_doublings = min(max(0, n_attempts - 1), 30)
        bound = min(self.max_seconds, self.base_seconds * 2.0**n_doublings)
        return self.rng.uniform(0.0, bound)
