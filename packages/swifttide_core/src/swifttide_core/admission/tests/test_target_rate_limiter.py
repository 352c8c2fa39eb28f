"""Rate limits of targets, with cold targets and with bunched requests."""

import math
import random

import pytest

from swifttide_core.admission import (
    ColdTargetLimits,
    ReadyTargets,
    SchedulerStanding,
    TargetRateLimiter,
)

COLD_LIMITS = ColdTargetLimits(
    cold_requests_per_second=20.0, max_requests_per_second=35.0
)


class TestTargetRateLimiter:
    @pytest.mark.parametrize("limit", [0.25, 1.0, 7.0, 23.5])
    def test_no_window_holds_more_than_the_limit(self, limit):
        """Guards against bursts across the boundary of two counting windows."""
        rng, limiter, now, sent = random.Random(7), TargetRateLimiter(), 0.0, []
        while now < 60.0:
            now += rng.expovariate(60.0)
            if limiter.wait_seconds("t", limit, now) <= 0.0:
                limiter.record("t", now)
                sent.append(now)
        span = max(1.0, 1.0 / limit)
        for start in sent:
            n_within = sum(start <= t < start + span for t in sent)
            assert n_within <= max(1, int(limit))

    def test_wait_lasts_until_window_has_room(self):
        limiter = TargetRateLimiter()
        limiter.record("t", 10.0)
        assert limiter.wait_seconds("t", 1.0, 10.25) == 0.75
        assert limiter.wait_seconds("t", 1.0, 11.0) == 0.0
        assert limiter.wait_seconds("t", 0.0, 11.0) == math.inf

    def test_earliest_ready_target_sets_the_wait(self):
        limiter = TargetRateLimiter()
        limiter.record("a", 10.0)
        limiter.record("b", 10.5)
        ready = ReadyTargets.within_limits(limiter, {"a": 1.0, "b": 1.0}, 10.75)
        assert (ready.targets, ready.wait_seconds) == ((), 0.25)


class TestColdTargetLimits:
    def test_sum_of_concurrent_limits_stays_within_the_maximum(self):
        """Guards against limits whose sum exceeds the maximum rate of a target."""
        new, substitute = (
            SchedulerStanding.newly_elected(),
            SchedulerStanding.substitute(12),
        )
        for is_cold in (True, False):
            schedulers = [SchedulerStanding.established(), *[substitute] * 12]
            total = sum(
                COLD_LIMITS.scheduler_limit(is_cold, s, 1.0) for s in schedulers
            )
            assert (
                total + 90 * COLD_LIMITS.unscheduled_host_limit(90)
                <= COLD_LIMITS.max_requests_per_second
            )
        successor = COLD_LIMITS.scheduler_limit(True, new, 1.0)
        both = (
            COLD_LIMITS.scheduler_limit(True, SchedulerStanding.established(), 1.0)
            + successor
        )
        assert (
            both + 90 * COLD_LIMITS.unscheduled_host_limit(90)
            <= COLD_LIMITS.max_requests_per_second
        )

    def test_partitioned_schedulers_share_the_cold_rate(self):
        """Guards against two schedulers that both use the full cold rate.

        In a network partition each side has a scheduler of its own.
        """
        established = SchedulerStanding.established()
        whole = COLD_LIMITS.scheduler_limit(True, established, 1.0)
        parts = [
            COLD_LIMITS.scheduler_limit(True, established, part)
            for part in (0.25, 0.75)
        ]
        assert sum(parts) == pytest.approx(whole)
