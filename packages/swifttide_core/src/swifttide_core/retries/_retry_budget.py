"""Limit on retries as a fraction of first attempts.

Load pattern: a target fails or becomes slow, and the requests of all callers fail at
once. Each layer that retries multiplies the load on the target.

Without a limit, with three attempts per request, a recovering target gets three times
its load and does not recover.

Each first attempt adds ``ratio`` to the balance and each retry subtracts 1. The load is
therefore at most ``1 + ratio`` times the first attempts, plus the initial balance. 10%
is small compared with the free capacity of any target that was not overloaded before;
see docs/measurements-limits.md.
"""

RETRY_RATIO = 0.1
"""Long-term number of retries per first attempt."""

RESERVE_RETRIES = 3.0
"""Retries available without first attempts, for a target or customer with few requests.
It is also the initial balance, so that the first failure after a takeover can be
retried."""

MAX_BALANCE_RETRIES = 10.0
"""Maximum balance that can accumulate under high load, in retries."""

RESERVE_REFILL_SECONDS = 10.0
"""Time in which one retry of the reserve is refilled without first attempts."""


class RetryBudget:
    """Retry budget of one target or one customer.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    ratio : float
        Retries per first attempt.
    reserve : float
        Initial balance, and level up to which it is refilled by time alone.
    cap : float
        Maximum balance.
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
        """Count the first attempt of a request."""
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
