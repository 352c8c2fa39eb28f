"""Retries: what a failing target gets to see."""

import random

from swifttide_core.retries import (
    Backoff,
    Blocked,
    CircuitBreaker,
    Closed,
    GiveUp,
    GiveUpCause,
    Pass,
    Retry,
    RetryBudget,
    decide_retry,
)
from swifttide_core.verdicts import Verdict


def decide(verdict=Verdict.NOT_RUN, repeatable=False, hops=0, **options):
    given = {
        "now": 0.0,
        "n_tries": 1,
        "deadline": 60.0,
        "budgets": (RetryBudget(0.0),),
        "backoff": Backoff.from_seed(1),
    }
    return decide_retry(verdict, repeatable, hops, **{**given, **options})


class TestDecideRetry:
    def test_what_may_have_run_is_not_repeated(self):
        """The connection is cut after the order went out. Sent again, the courier
        comes twice.
        """
        assert decide(Verdict.MAY_HAVE_RUN) == GiveUp(GiveUpCause.MAY_HAVE_RUN)
        assert isinstance(decide(Verdict.MAY_HAVE_RUN, repeatable=True), Retry)

    def test_answered_is_final(self):
        answer = decide(Verdict.RAN, repeatable=True)
        assert answer == GiveUp(GiveUpCause.ANSWERED)

    def test_only_the_entry_host_retries(self):
        """Three hops that each try three times send 27 requests to a dead target."""
        assert decide(hops=1) == GiveUp(GiveUpCause.NOT_ENTRY_HOST)

    def test_not_past_the_deadline(self):
        answer = decide(not_before_seconds=61.0)
        assert answer == GiveUp(GiveUpCause.DEADLINE)

    def test_either_budget_stops_it_and_neither_pays(self):
        full, empty = RetryBudget(0.0), RetryBudget(0.0, reserve=0.0)
        answer = decide(budgets=(full, empty))
        assert answer == GiveUp(GiveUpCause.BUDGET)
        for _ in range(3):
            assert full.has_retry(0.0)
            full.spend(0.0)


class TestRetryBudget:
    def test_outage_gets_a_tenth_more(self):
        """A target is down and every request fails. Retries without a bound would
        keep it down when it comes back.
        """
        budget = RetryBudget(0.0)
        n_retries = 0
        for n in range(1000):
            now = n * 0.01
            budget.first_try(now)
            while budget.has_retry(now):
                budget.spend(now)
                n_retries += 1
        assert n_retries <= 1000 * 0.1 + 3 + 1

    def test_quiet_target_has_its_reserve_back(self):
        budget = RetryBudget(0.0)
        for _ in range(3):
            budget.spend(0.0)
        assert not budget.has_retry(0.0)
        assert budget.has_retry(10.0)


class TestBackoff:
    def test_spreads_over_the_whole_pause(self):
        backoff = Backoff.from_seed(1)
        pauses = [backoff.pause(3) for _ in range(1000)]
        assert min(pauses) < 0.02
        assert 0.18 < max(pauses) <= 0.2
        assert backoff.pause(10_000) <= 2.0


class TestCircuitBreaker:
    def breaker(self):
        return CircuitBreaker(0.0, 5.0, random.Random(1))

    def open_breaker(self):
        breaker = self.breaker()
        for _ in range(5):
            breaker.report(0.0, breaker.ask(0.0), False)
        assert isinstance(breaker.ask(0.0), Blocked)
        return breaker

    def test_busy_target_that_dies_is_left_alone_at_once(self):
        """A target served thousands of requests and dies. Counted against its past
        successes, its failures would go on for seconds and use up the retries.
        """
        breaker = self.breaker()
        for n in range(2000):
            breaker.report(n * 0.01, breaker.ask(n * 0.01), True)
        for _ in range(5):
            breaker.report(20.0, breaker.ask(20.0), False)
        assert isinstance(breaker.ask(20.0), Blocked)

    def test_one_probe_decides(self):
        """A target comes back. All who waited for it at once would fell it again."""
        breaker = self.open_breaker()
        probe = breaker.ask(1.0)
        assert isinstance(probe, Pass)
        assert isinstance(breaker.ask(1.0), Blocked)
        breaker.report(1.1, probe, True)
        assert isinstance(breaker.state, Closed)

    def test_late_result_of_an_old_request_says_nothing(self):
        breaker = self.open_breaker()
        old = Pass(1)
        breaker.ask(1.0)
        breaker.report(1.1, old, True)
        assert isinstance(breaker.ask(1.1), Blocked)

    def test_lost_probe_does_not_stick(self):
        """The prober dies with its probe. The target would be left alone for good."""
        breaker = self.open_breaker()
        breaker.ask(1.0)
        assert isinstance(breaker.ask(6.1), Blocked)
        assert isinstance(breaker.ask(8.2), Pass)

    def test_few_failures_among_many_do_not_open(self):
        breaker = self.breaker()
        for n in range(100):
            breaker.report(n * 0.01, breaker.ask(n * 0.01), n % 3 > 0)
        assert isinstance(breaker.ask(1.0), Pass)

    def test_withdrawn_probe_leaves_room_for_the_next(self):
        breaker = self.open_breaker()
        breaker.withdraw(1.0, breaker.ask(1.0))
        assert isinstance(breaker.ask(1.0), Pass)
