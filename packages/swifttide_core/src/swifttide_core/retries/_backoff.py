"""Pause before a retry.

Load pattern: many requests fail in the same moment, when a target dies or a
connection is cut, and would all come back in the same moment.

Without it: the retries arrive as one burst, again and again.

Grounds: full jitter (a uniform draw below an exponentially growing bound) spreads
them evenly over the whole pause. 50 ms is several trips between zones; 2 s is
small against a program's deadline.
"""

import random

BASE_DELAY_SECONDS = 0.05
"""Bound of the first pause."""

MAX_DELAY_SECONDS = 2.0
"""Bound that no pause exceeds."""


class Backoff:
    """Exponential backoff with full jitter.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    base_seconds : float
        Bound of the first pause; it doubles with each further one.
    max_seconds : float
        Largest bound.
    """

    def __init__(
        self, rng, base_seconds=BASE_DELAY_SECONDS, max_seconds=MAX_DELAY_SECONDS
    ):
        self.rng = rng
        self.base_seconds = base_seconds
        self.max_seconds = max_seconds

    @classmethod
    def from_seed(cls, seed: int) -> "Backoff":
        """Return a backoff whose pauses are the same on every run."""
        return cls(random.Random(seed))

    def next_delay(self, n_tries: int) -> float:
        """Return seconds to wait after ``n_tries`` tries (1 after the first)."""
        # 2.0 to a large power overflows; no bound is doubled that often.
        n_doublings = min(max(0, n_tries - 1), 30)
        bound = min(self.max_seconds, self.base_seconds * 2.0**n_doublings)
        return self.rng.uniform(0.0, bound)
