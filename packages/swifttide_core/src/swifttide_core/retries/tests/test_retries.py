"""Tests of retry decisions, budgets, backoff and circuit breaker."""

import random

from swifttide_core.retries import (
    Backoff,
    Blocked,
    BreakerPermit,
    CircuitBreaker,
    Closed,
    GiveUp,
    GiveUpCause,
    Retry,
    RetryBudget,
    decide_retry,
)
from swifttide_core.verdicts import Verdict


def decide(verdict=Verdict.NOT_RUN, repeatable=False, n_hops=0, **options):
    given = {
        "now": 0.0,
        "n_attempts": 1,
        "deadline": 60.0,
        "budgets": (RetryBudget(0.0),),
        "backoff": Backoff.from_seed(1),
    }
    return decide_retry(verdict, repeatable, n_hops, **{**given, **options})


class TestDecideRetry:
    def test_request_that_may_have_run_is_not_retried(self):
        """Guards against executing a request twice.

        The connection is lost after an order was sent. A retry could deliver it twice.
        """
        assert decide(Verdict.MAY_HAVE_RUN) == GiveUp(GiveUpCause.MAY_HAVE_RUN)
        assert isinstance(decide(Verdict.MAY_HAVE_RUN, repeatable=True), Retry)

    def test_answered_request_is_not_retried(self):
        answer = decide(Verdict.RAN, repeatable=True)
        assert answer == GiveUp(GiveUpCause.ANSWERED)

    def test_only_the_entry_host_retries(self):
        """Three hops with three attempts each would send 27 requests to the target."""
        assert decide(n_hops=1) == GiveUp(GiveUpCause.NOT_ENTRY_HOST)

    def test_no_retry_past_the_deadline(self):
        answer = decide(min_delay_seconds=61.0)
        assert answer == GiveUp(GiveUpCause.DEADLINE)

    def test_one_empty_budget_prevents_the_retry_without_spending(self):
        full, empty = RetryBudget(0.0), RetryBudget(0.0, reserve=0.0)
        answer = decide(budgets=(full, empty))
        assert answer == GiveUp(GiveUpCause.BUDGET)
        for _ in range(3):
            assert full.has_retry(0.0)
            full.spend(0.0)


class TestRetryBudget:
    def test_retries_in_an_outage_are_bounded(self):
        """Guards against overloading a recovering target with retries.

        The target is down and every request fails.
        """
        budget = RetryBudget(0.0)
        n_retries = 0
        for n in range(1000):
            now = n * 0.01
            budget.record_first_attempt(now)
            while budget.has_retry(now):
                budget.spend(now)
                n_retries += 1
        assert n_retries <= 1000 * 0.1 + 3 + 1

    def test_reserve_refills_without_requests(self):
        budget = RetryBudget(0.0)
        for _ in range(3):
            budget.spend(0.0)
        assert not budget.has_retry(0.0)
        assert budget.has_retry(10.0)


class TestBackoff:
    def test_delays_cover_the_whole_interval(self):
        backoff = Backoff.from_seed(1)
        pauses = [backoff.next_delay(3) for _ in range(1000)]
        assert min(pauses) < 0.02
        assert 0.18 < max(pauses) <= 0.2
        assert backoff.next_delay(10_000) <= 2.0


class TestCircuitBreaker:
    def breaker(self):
        return CircuitBreaker(0.0, 5.0, random.Random(1))

    def open_breaker(self):
        breaker = self.breaker()
        for _ in range(5):
            breaker.report(0.0, breaker.acquire(0.0), False)
        assert isinstance(breaker.acquire(0.0), Blocked)
        return breaker

    def test_breaker_opens_quickly_after_many_successes(self):
        """Guards against sending requests to a failed target for seconds.

        A target fails after thousands of successes. If its failures were weighed only
        against these, the breaker would stay closed and the retries be used up.
        """
        breaker = self.breaker()
        for n in range(2000):
            breaker.report(n * 0.01, breaker.acquire(n * 0.01), True)
        for _ in range(5):
            breaker.report(20.0, breaker.acquire(20.0), False)
        assert isinstance(breaker.acquire(20.0), Blocked)

    def test_single_probe_closes_the_breaker(self):
        """A recovering target would fail again if it got all waiting requests."""
        breaker = self.open_breaker()
        probe = breaker.acquire(1.0)
        assert isinstance(probe, BreakerPermit)
        assert isinstance(breaker.acquire(1.0), Blocked)
        breaker.report(1.1, probe, True)
        assert isinstance(breaker.state, Closed)

    def test_late_result_of_an_old_request_is_ignored(self):
        breaker = self.open_breaker()
        old = BreakerPermit(1)
        breaker.acquire(1.0)
        breaker.report(1.1, old, True)
        assert isinstance(breaker.acquire(1.1), Blocked)

    def test_lost_probe_expires(self):
        """The sender of a probe fails. The target must not stay excluded forever."""
        breaker = self.open_breaker()
        breaker.acquire(1.0)
        assert isinstance(breaker.acquire(6.1), Blocked)
        assert isinstance(breaker.acquire(8.2), BreakerPermit)

    def test_few_failures_among_many_do_not_open(self):
        breaker = self.breaker()
        for n in range(100):
            breaker.report(n * 0.01, breaker.acquire(n * 0.01), n % 3 > 0)
        assert isinstance(breaker.acquire(1.0), BreakerPermit)

    def test_withdrawn_probe_allows_another_probe(self):
        breaker = self.open_breaker()
        breaker.withdraw(1.0, breaker.acquire(1.0))
        assert isinstance(breaker.acquire(1.0), BreakerPermit)
