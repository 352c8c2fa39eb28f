"""Admission of programs and placement of turns by the scheduler of a service."""

import heapq
import random

import pytest

from swifttide_core.admission import (
    PlacementRequest,
    ProgramAdmitted,
    ProgramRefused,
    TurnId,
    TurnScheduler,
)
from swifttide_core.forwarding import Candidate, TargetEntry, choose_target

TARGET_CAPACITY = 6
TURN_SECONDS = 0.2


def make_targets(count):
    return [
        TargetEntry(f"t{i}", "s", "10.0.0.1", 1, "ab"[i % 2], TARGET_CAPACITY)
        for i in range(count)
    ]


def make_scheduler(reported_outstanding=lambda target: 0.0, now=0.0):
    return TurnScheduler(now, reported_outstanding)


def make_request(number, host="h1", seconds=4.0, program=""):
    return PlacementRequest(TurnId(host, "boot", number), program, "a", "", "", seconds)


def place_turns(scheduler, targets, count, now=10.0):
    for number in range(count):
        scheduler.place_turn(make_request(number), targets, now)


class TestAdmitProgram:
    IDS = ("t0", "t1")

    def test_new_programs_are_admitted_while_capacity_is_free(self):
        scheduler, targets = make_scheduler(), make_targets(2)
        place_turns(scheduler, targets, 2 * TARGET_CAPACITY - 1)
        answers = [
            scheduler.admit_program(p, 2.0, self.IDS, 2 * TARGET_CAPACITY, 10.0)
            for p in ("p1", "p2")
        ]
        assert answers[0] == ProgramAdmitted()
        assert isinstance(answers[1], ProgramRefused)

    def test_started_program_is_always_admitted(self):
        scheduler, targets = make_scheduler(), make_targets(2)
        scheduler.place_turn(make_request(99, program="p1"), targets, 10.0)
        place_turns(scheduler, targets, 3 * TARGET_CAPACITY)
        assert (
            scheduler.admit_program("p1", 2.0, self.IDS, 2 * TARGET_CAPACITY, 10.0)
            == ProgramAdmitted()
        )

    def test_program_that_would_end_late_is_refused_for_longer(self):
        """Guards against admission of programs that retry too late to end in time."""
        scheduler = make_scheduler()
        full = scheduler.admit_program("old", 2.0, self.IDS, 0, 10.0)
        assert isinstance(full, ProgramRefused)
        later = scheduler.admit_program("old", 1.0, self.IDS, 2 * TARGET_CAPACITY, 11.0)
        assert isinstance(later, ProgramRefused)
        assert later.retry_seconds > full.retry_seconds
        assert (
            scheduler.admit_program("soon", 2.0, self.IDS, 2 * TARGET_CAPACITY, 11.0)
            == ProgramAdmitted()
        )

    def test_frequent_retries_do_not_get_a_program_admitted(self):
        scheduler, targets = make_scheduler(), make_targets(2)
        place_turns(scheduler, targets, 2 * TARGET_CAPACITY)
        for _ in range(50):
            scheduler.admit_program("hasty", 2.0, self.IDS, 2 * TARGET_CAPACITY, 10.0)
        assert scheduler.load(self.IDS, 10.0) == 2 * TARGET_CAPACITY

    def test_admitted_program_counts_as_load_before_its_first_turn(self):
        scheduler = make_scheduler()
        assert (
            scheduler.admit_program("p1", 2.0, self.IDS, 1, 10.0) == ProgramAdmitted()
        )
        assert isinstance(
            scheduler.admit_program("p2", 2.0, self.IDS, 1, 10.1), ProgramRefused
        )
        assert (
            scheduler.admit_program("p2", 2.0, self.IDS, 1, 10.8) == ProgramAdmitted()
        )

    def test_new_scheduler_counts_reported_requests(self):
        """Guards against a new scheduler that ignores turns placed before."""
        scheduler = make_scheduler(lambda target: float(TARGET_CAPACITY), now=10.0)
        assert isinstance(
            scheduler.admit_program("p", 2.0, self.IDS, 2 * TARGET_CAPACITY, 10.1),
            ProgramRefused,
        )
        assert (
            scheduler.admit_program("p2", 2.0, self.IDS, 2 * TARGET_CAPACITY, 20.0)
            == ProgramAdmitted()
        )


class TestPlaceTurn:
    def test_turns_are_spread_evenly_over_targets(self):
        scheduler, targets = make_scheduler(), make_targets(4)
        place_turns(scheduler, targets, 4 * TARGET_CAPACITY)
        for zone in "ab":
            own = [scheduler.outstanding(t.id, 10.0) for t in targets if t.zone == zone]
            assert max(own) - min(own) <= 1

    def test_ended_turn_frees_its_capacity_once(self):
        scheduler, targets = make_scheduler(), make_targets(1)
        chosen = scheduler.place_turn(make_request(1), targets, 10.0)
        scheduler.end_turn(TurnId("h1", "boot", 1), chosen.id, 0.02, 10.2)
        scheduler.end_turn(TurnId("h1", "boot", 1), chosen.id, 0.02, 10.2)
        assert scheduler.outstanding("t0", 10.2) == 0

    def test_turn_with_lost_end_expires(self):
        scheduler, targets = make_scheduler(), make_targets(1)
        scheduler.place_turn(make_request(1, seconds=3.0), targets, 10.0)
        assert scheduler.outstanding("t0", 12.9) == 1
        assert scheduler.outstanding("t0", 13.0) == 0

    def test_turn_missing_from_host_report_is_removed(self):
        scheduler, targets = make_scheduler(), make_targets(1)
        scheduler.place_turn(make_request(1), targets, 10.0)
        scheduler.place_turn(make_request(2), targets, 10.9)
        scheduler.place_turn(make_request(3, host="h2"), targets, 10.0)
        scheduler.reconcile_host("h1", {}, 11.0)
        assert scheduler.outstanding("t0", 11.0) == 2

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


class TestOutstandingTurnBound:
    """Targets that are slower the fuller they are."""

    def test_bound_falls_when_targets_slow_down_under_load(self):
        """Guards against all programs ending late on full targets."""
        assert mean_load_in_burst(stretch=3.0) < 0.75

    def test_targets_that_stay_fast_are_filled(self):
        assert mean_load_in_burst(stretch=1.3) > 0.9


def mean_load_in_burst(stretch):
    """Return the mean fraction of places in use in the last seconds of a burst.

    Turns take ``stretch`` times as long when all places are in use.
    """
    scheduler, targets = make_scheduler(), make_targets(4)
    ids, places = [t.id for t in targets], 4 * TARGET_CAPACITY
    rng, now, running, used = random.Random(1), 10.0, [], []
    for number in range(4000):
        rate = 20.0 if now < 20.0 else 400.0
        now += rng.expovariate(rate)
        if now > 32.0:
            break
        while running and running[0][0] <= now:
            at, n, target = heapq.heappop(running)
            scheduler.end_turn(TurnId("h1", "boot", n), target, 0.02, at)
        if (
            scheduler.admit_program(f"p{number}", 2.0, ids, places, now)
            != ProgramAdmitted()
        ):
            continue
        load = scheduler.load(ids, now)
        target = scheduler.place_turn(
            make_request(number, program=f"p{number}"), targets, now
        ).id
        seconds = TURN_SECONDS * (1.0 + (stretch - 1.0) * min(1.0, load / places))
        heapq.heappush(running, (now + seconds, number, target))
        if now > 25.0:
            used.append(load / places)
    return sum(used) / len(used)


class TestSlowTarget:
    def test_slow_target_gets_few_turns(self):
        scheduler, targets = make_scheduler(), make_targets(4)
        now, sent = 10.0, {t.id: 0 for t in targets}
        running = []
        rng = random.Random(1)
        for number in range(2000):
            now += rng.expovariate(60.0)
            while running and running[0][0] <= now:
                _, n, target, first = heapq.heappop(running)
                scheduler.end_turn(TurnId("h1", "boot", n), target, first, now)
            chosen = scheduler.place_turn(make_request(number), targets, now).id
            sent[chosen] += 1
            slow = 3.5 if chosen == "t0" else 1.0
            first = 0.03 * slow
            heapq.heappush(running, (now + TURN_SECONDS * slow, number, chosen, first))
        assert 1 <= sent["t0"] < 0.08 * 2000
        assert scheduler.slowness("t1", now) == 1.0


def full_target_fraction(seed, by_scheduler):
    """Return the fraction of 3000 simulated turns that are sent to a full target."""
    rng = random.Random(seed)
    targets = make_targets(20)
    hosts = [f"h{i}" for i in range(200)]
    scheduler = make_scheduler()
    now, running, outstanding = 0.0, [], dict.fromkeys((t.id for t in targets), 0)
    reported, reported_at, full = dict(outstanding), 0.0, 0
    for number in range(3000):
        now += rng.expovariate(450.0)
        while running and running[0][0] <= now:
            _, n, host, target = heapq.heappop(running)
            outstanding[target] -= 1
            scheduler.end_turn(TurnId(host, "boot", n), target, 0.02, now)
        if now - reported_at >= 1.0:
            reported, reported_at = dict(outstanding), now
        host = rng.choice(hosts)
        if by_scheduler:
            target = scheduler.place_turn(make_request(number, host), targets, now).id
        else:
            candidates = [Candidate(t, reported[t.id]) for t in targets]
            target = choose_target(candidates, "a", "", None, host).id
        full += outstanding[target] >= TARGET_CAPACITY
        outstanding[target] += 1
        heapq.heappush(running, (now + TURN_SECONDS, number, host, target))
    return full / 3000
