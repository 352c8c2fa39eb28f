"""Placement of turns on equal, full and slow targets."""

import heapq
import random

import pytest

from swifttide_core.forwarding import Candidate, choose_target
from swifttide_core.scheduling import Eligible, TurnQueued, TurnResult
from swifttide_core.scheduling.tests._requests import (
    TARGET_CAPACITY,
    TURN_SECONDS,
    make_request,
    make_result,
    make_scheduler,
    make_targets,
    make_turn_id,
    outstanding,
    place_turns,
)


class TestPlaceTurn:
    def test_turns_are_spread_evenly_over_targets(self):
        scheduler, targets = make_scheduler(), make_targets(4)
        place_turns(scheduler, targets, 4 * TARGET_CAPACITY)
        for zone in "ab":
            own = [
                outstanding(scheduler, t.id, 10.0) for t in targets if t.zone == zone
            ]
            assert max(own) - min(own) <= 1

    def test_no_targets_returns_none(self):
        assert make_scheduler().place_turn(make_request(1), (), 10.0) is None

    @pytest.mark.parametrize("seed", range(3))
    def test_scheduler_avoids_full_targets_with_many_hosts(self, seed):
        """Guards against all hosts choosing the target that was idle a second ago.

        The scheduler is compared with hosts that choose by counts that are up to a
        second old.
        """
        assert full_target_fraction(seed, by_scheduler=True) < 0.02
        assert full_target_fraction(seed, by_scheduler=False) > 0.1


class TestSlowTarget:
    @pytest.mark.parametrize("is_gap_known", [False, True])
    def test_slow_target_gets_few_turns(self, is_gap_known):
        scheduler, targets = make_scheduler(), make_targets(4)
        now, sent = 10.0, {t.id: 0 for t in targets}
        running = []
        rng = random.Random(1)
        for number in range(2000):
            now += rng.expovariate(60.0)
            while running and running[0][0] <= now:
                _, n, target, slow = heapq.heappop(running)
                result = TurnResult(0.03 * slow, None, 1, True)
                if is_gap_known:
                    gap = (TURN_SECONDS - 0.03) / 3
                    result = TurnResult(0.03 * slow, gap * slow, 4, True)
                scheduler.end_turn(make_turn_id(n), target, result, now)
            chosen = scheduler.place_turn(make_request(number), targets, now).id
            sent[chosen] += 1
            slow = 3.5 if chosen == "t0" else 1.0
            heapq.heappush(running, (now + TURN_SECONDS * slow, number, chosen, slow))
        assert 1 <= sent["t0"] < 0.08 * 2000
        gaps = {t: gap for t, (gap, _) in scheduler.status(now)["targets"].items()}
        assert gaps["t1"] == pytest.approx(gaps["t3"], rel=0.1)
        assert gaps["t0"] > 1.5 * gaps["t1"]


def full_target_fraction(seed, by_scheduler):
    """Return the fraction of 3000 simulated turns that are sent to a full target."""
    rng = random.Random(seed)
    targets = make_targets(20)
    found = Eligible(targets, 20 * TARGET_CAPACITY)
    hosts = [f"h{i}" for i in range(200)]
    scheduler = make_scheduler()
    now, running, counts = 0.0, [], dict.fromkeys((t.id for t in targets), 0)
    reported, reported_at, n_full, n_sent = dict(counts), 0.0, 0, 0

    def send(number, host, target, at):
        nonlocal n_full, n_sent
        n_sent += 1
        n_full += counts[target] >= TARGET_CAPACITY
        counts[target] += 1
        heapq.heappush(running, (at + TURN_SECONDS, number, host, target))

    for number in range(3000):
        now += rng.expovariate(450.0)
        while running and running[0][0] <= now:
            at, n, host, target = heapq.heappop(running)
            counts[target] -= 1
            scheduler.end_turn(make_turn_id(n, host), target, make_result(), at)
            for grant in scheduler.grant_waiting(lambda request: found, at):
                send(grant.id.number, grant.id.host, grant.target.id, at)
        if now - reported_at >= 1.0:
            reported, reported_at = dict(counts), now
        host = rng.choice(hosts)
        if by_scheduler:
            answer = scheduler.place_turn(make_request(number, host), targets, now)
            if not isinstance(answer, TurnQueued):
                send(number, host, answer.id, now)
        else:
            candidates = [Candidate(t, reported[t.id]) for t in targets]
            send(number, host, choose_target(candidates, "a", "", None, host).id, now)
    assert n_sent >= 2950
    return n_full / 3000
