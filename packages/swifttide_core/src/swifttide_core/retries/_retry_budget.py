"""Retries as a fixed share of first tries.

Load pattern: a target goes down or slow, and every caller's request fails at
once; each layer that retries multiplies what reaches the target.

Without it: with three tries per request a target that is coming back meets three
times its load, and stays down.

Grounds: each first try puts ``ratio`` of a retry into the account and each retry
takes a whole one, so that the load is at most ``1 + ratio`` times the first tries,
plus what the account holds at the start. A tenth is small against the headroom of
any target that was not overloaded before; measured in docs/measurements-limits.md.
"""

RETRY_RATIO = 0.1
"""Retries per first try in the long run."""

RESERVE_RETRIES = 3.0
"""Retries that a quiet target or customer can do without first tries; also the
start, so that the first failure after a takeover can be tried again."""

MAX_BALANCE_RETRIES = 10.0
"""Most retries that a busy spell can save up."""

RESERVE_REFILL_SECONDS = 10.0
"""Time for one retry of the reserve to come back without first tries."""


class RetryBudget:
    """Account of retries, one per target and one per customer.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    ratio : float
        Retries per first try.
    reserve : float
        Retries it starts with, and to which it recovers by time alone.
    cap : float
        Most that it holds.
    """

    def __init__(
        self, now, ratio=RETRY_RATIO, reserve=RESERVE_RETRIES, cap=MAX_BALANCE_RETRIES
    ):
        self.ratio = ratio
        self.reserve = reserve
        self.cap = cap
        self._balance = reserve
        self._updated_at = now

    def record_first_attempt(self, now: float) -> None:
        """Count a request that is sent for the first time."""
        self._refill_reserve(now)
        self._balance = min(self.cap, self._balance + self.ratio)

    def has_retry(self, now: float) -> bool:
        """Return whether a retry may be sent."""
        self._refill_reserve(now)
        return self._balance >= 1.0

    def spend(self, now: float) -> None:
        """Count a retry; call it only after ``has_retry``."""
        self._refill_reserve(now)
        self._balance -= 1.0

    def _refill_reserve(self, now):
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        if self._balance < self.reserve:
            gained = self._balance + elapsed / RESERVE_REFILL_SECONDS
            self._balance = min(self.reserve, gained)
