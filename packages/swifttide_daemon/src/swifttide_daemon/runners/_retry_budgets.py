"""Limits retries with one budget per target and one per customer.

First attempts add to the budgets of their target and customer, retries take from them.
The budgets are local to this host and held in memory.
"""

import random
import threading
import time

from swifttide_core.retries import Backoff, GiveUp, Retry, RetryBudget, decide_retry
from swifttide_core.verdicts import Verdict

MAX_BUDGETS = 10_000


class RetryBudgets:
    """Keeps the budgets and decides whether a failed call is sent again.

    Parameters
    ----------
    backoff : Backoff
    """

    def __init__(self, backoff: Backoff) -> None:
        self.backoff = backoff
        self._budgets: dict[str, RetryBudget] = {}
        self._lock = threading.Lock()

    @classmethod
    def from_rng(cls, rng: random.Random) -> "RetryBudgets":
        """Return budgets whose backoff delays are drawn from `rng`."""
        return cls(Backoff(rng))

    def record_first_attempt(self, target: str, customer: str) -> None:
        """Add the first attempt of a call to the budgets of its target and customer."""
        now = time.monotonic()
        with self._lock:
            for budget in self._budgets_of(target, customer, now):
                budget.record_first_attempt(now)

    def decide(
        self,
        verdict: Verdict,
        repeatable: bool,
        n_attempts: int,
        deadline: float,
        target: str,
        customer: str,
    ) -> Retry | GiveUp:
        """Return the retry with its delay, or `GiveUp`; see `decide_retry`."""
        now = time.monotonic()
        with self._lock:
            return decide_retry(
                verdict,
                repeatable,
                0,
                now=now,
                n_attempts=n_attempts,
                deadline=deadline,
                budgets=self._budgets_of(target, customer, now),
                backoff=self.backoff,
            )

    def _budgets_of(self, target: str, customer: str, now: float) -> list[RetryBudget]:
        if len(self._budgets) > MAX_BUDGETS:
            self._budgets.clear()
        return [
            self._budgets.setdefault(name, RetryBudget(now))
            for name in (f"target/{target}", f"customer/{customer}")
        ]
