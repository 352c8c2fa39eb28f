"""Tries that reach targets per request, while a target is down.

300 requests a second go to one of three targets in turn; one target fails every
try from 20 s to 40 s, and for one scenario all three do. A retry goes to the next
target.
"""

import heapq
import random
from dataclasses import dataclass

from swifttide_core.retries import (
    Backoff,
    Blocked,
    CircuitBreaker,
    Retry,
    RetryBudget,
    decide_retry,
)
from swifttide_core.verdicts import Verdict

SECONDS = 60
REQUESTS_PER_SECOND = 300
OUTAGE = (20.0, 40.0)
N_TARGETS = 3
HOPS = 3
TRIES_PER_HOP = 3
PROBE_SECONDS = 5.0


class _Unlimited:
    """A budget that always has a retry: the baseline."""

    def record_first_attempt(self, now):
        pass

    def has_retry(self, now):
        return True

    def spend(self, now):
        pass


@dataclass(frozen=True, slots=True)
class Policy:
    """What is switched on.

    Parameters
    ----------
    name : str
    budgets, breakers, every_hop : bool
        Retry budgets; circuit breakers; whether each of three hops retries.
    """

    name: str
    budgets: bool
    breakers: bool
    every_hop: bool = False


POLICIES = (
    Policy("swifttide", True, True),
    Policy("no breaker", True, False),
    Policy("no budget", False, True),
    Policy("neither", False, False),
    Policy("each hop retries", False, False, True),
)


class _Run:
    """One policy under one outage."""

    def __init__(self, policy, down):
        self.policy = policy
        self.down = down
        rng = random.Random(1)
        make = RetryBudget if policy.budgets else lambda now: _Unlimited()
        self.budgets = [make(0.0) for _ in range(N_TARGETS)]
        self.customer = make(0.0)
        self.backoff = Backoff(random.Random(2))
        self.breakers = [
            CircuitBreaker(0.0, PROBE_SECONDS, rng) for _ in range(N_TARGETS)
        ]
        self.n_first = self.n_tries = self.n_failed = 0
        self._queue = []

    def play(self):
        for n in range(SECONDS * REQUESTS_PER_SECOND):
            at = n / REQUESTS_PER_SECOND
            self._queue.append((at, n, 1))
        heapq.heapify(self._queue)
        while self._queue:
            self._try(*heapq.heappop(self._queue))
        return self

    def _try(self, now, request, n_tries):
        target = self._pick(now, request + n_tries - 1)
        in_outage = OUTAGE[0] <= now < OUTAGE[1]
        if n_tries == 1:
            self.customer.record_first_attempt(now)
            self.n_first += in_outage
            if target is not None:
                self.budgets[target].record_first_attempt(now)
        if target is None:
            self.n_failed += in_outage
            return
        ok = not (in_outage and target in self.down)
        copies = 1 if ok or not self.policy.every_hop else TRIES_PER_HOP ** (HOPS - 1)
        self.n_tries += copies * in_outage
        if self.policy.breakers:
            self.breakers[target].report(now, self._passed, ok)
        if not ok:
            self._fail(now, request, n_tries, target)

    def _fail(self, now, request, n_tries, target):
        decision = decide_retry(
            Verdict.NOT_RUN,
            False,
            0,
            now=now,
            n_attempts=n_tries,
            deadline=float("inf"),
            budgets=(self.budgets[target], self.customer),
            backoff=self.backoff,
        )
        match decision:
            case Retry(after_seconds):
                event = (now + after_seconds, request, n_tries + 1)
                heapq.heappush(self._queue, event)
            case _:
                self.n_failed += 1

    def _pick(self, now, start):
        for step in range(N_TARGETS):
            target = (start + step) % N_TARGETS
            if not self.policy.breakers:
                return target
            answer = self.breakers[target].acquire(now)
            if not isinstance(answer, Blocked):
                self._passed = answer
                return target
        return None


def print_retries() -> None:
    """Print the table."""
    print("outage of targets from 20 s to 40 s; figures of those 20 s")
    print(f"{'down':>7} {'policy':<17} {'requests':>8} {'tries/req':>9} {'failed':>8}")
    for down in ((0,), tuple(range(N_TARGETS))):
        for policy in POLICIES:
            run = _Run(policy, down).play()
            print(
                f"{len(down)} of {N_TARGETS:>2} {policy.name:<17} {run.n_first:>8} "
                f"{run.n_tries / run.n_first:>9.3f} "
                f"{100.0 * run.n_failed / run.n_first:>7.2f}%"
            )
