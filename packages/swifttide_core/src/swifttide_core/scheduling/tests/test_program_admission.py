"""Admission of single programs by the scheduler of a service."""

import heapq
import random

import pytest

from swifttide_core.admission import ProgramAdmitted, ProgramRefused
from swifttide_core.scheduling import (
    AdmissionGrant,
    Eligible,
    ProgramQueued,
    TurnQueued,
)
from swifttide_core.scheduling.tests._requests import (
    TARGET_CAPACITY,
    TURN_SECONDS,
    make_program_request,
    make_request,
    make_result,
    make_scheduler,
    make_targets,
    make_turn_id,
    place_turns,
)

TARGETS = make_targets(2)
CAPACITY = 2 * TARGET_CAPACITY
N_WITHIN_LIMIT = 15
"""Turns within the limit of 14.52 for 12 slots before anything is learned."""


def admit(scheduler, program, now, seconds=2.0, capacity=CAPACITY, number=0):
    request = make_program_request(program, seconds, number)
    return scheduler.admit_program(request, TARGETS, capacity, now)


def count_admitted(scheduler, now, n_programs=30):
    answers = [admit(scheduler, f"p{i}", now) for i in range(n_programs)]
    n_admitted = sum(answer == ProgramAdmitted() for answer in answers)
    assert answers[:n_admitted] == [ProgramAdmitted()] * n_admitted
    return n_admitted


class TestAdmitProgram:
    def test_new_programs_are_admitted_up_to_the_limit(self):
        """Guards against a limit that counts outstanding turns wrongly."""
        scheduler = make_scheduler()
        place_turns(scheduler, TARGETS, CAPACITY - 1)
        assert count_admitted(scheduler, 10.0) == N_WITHIN_LIMIT - (CAPACITY - 1)

    def test_program_beyond_the_limit_waits_while_it_can_end_in_time(self):
        """Guards against refusal where a slot would be free soon, and the reverse."""
        scheduler = make_scheduler()
        place_turns(scheduler, TARGETS, CAPACITY)
        answers = [admit(scheduler, f"p{i}", 10.0) for i in range(10)]
        kinds = [type(answer) for answer in answers]
        assert kinds == sorted(
            kinds, key=[ProgramAdmitted, ProgramQueued, ProgramRefused].index
        )
        assert set(kinds) == {ProgramAdmitted, ProgramQueued, ProgramRefused}

    def test_started_program_is_always_admitted(self):
        scheduler = make_scheduler()
        scheduler.place_turn(make_request(99, program="p1"), TARGETS, 10.0)
        place_turns(scheduler, TARGETS, 3 * TARGET_CAPACITY)
        assert admit(scheduler, "p1", 10.0) == ProgramAdmitted()

    def test_program_that_would_end_late_is_refused_for_longer(self):
        """Guards against admission of programs that retry too late to end in time."""
        scheduler = make_scheduler()
        full = admit(scheduler, "old", 10.0, capacity=0)
        assert isinstance(full, ProgramRefused)
        place_turns(scheduler, TARGETS, CAPACITY - 3, now=11.0)
        later = admit(scheduler, "old", 11.0, seconds=1.0)
        assert isinstance(later, ProgramRefused)
        assert later.retry_seconds > full.retry_seconds
        assert admit(scheduler, "soon", 11.0) == ProgramAdmitted()

    def test_program_that_would_end_late_may_use_free_slots(self):
        """Guards against refusals while slots idle."""
        scheduler = make_scheduler()
        assert isinstance(admit(scheduler, "old", 10.0, capacity=0), ProgramRefused)
        assert admit(scheduler, "old", 11.0, seconds=1.0) == ProgramAdmitted()

    def test_frequent_retries_do_not_get_a_program_admitted(self):
        scheduler = make_scheduler()
        place_turns(scheduler, TARGETS, N_WITHIN_LIMIT)
        before = scheduler.status(10.0)["outstanding"]
        answers = [admit(scheduler, "hasty", 10.0, number=n) for n in range(50)]
        assert ProgramAdmitted() not in answers
        assert scheduler.status(10.0)["outstanding"] == before

    @pytest.mark.parametrize("now, is_admitted", [(10.1, False), (10.8, True)])
    def test_admitted_program_counts_as_load_before_its_first_turn(
        self, now, is_admitted
    ):
        scheduler = make_scheduler()
        assert count_admitted(scheduler, 10.0, N_WITHIN_LIMIT) == N_WITHIN_LIMIT
        answer = admit(scheduler, "later", now)
        assert (answer == ProgramAdmitted()) == is_admitted

    @pytest.mark.parametrize("now, n_reported", [(10.1, CAPACITY), (20.0, 0)])
    def test_new_scheduler_counts_reported_requests(self, now, n_reported):
        """Guards against a new scheduler that ignores turns placed before."""
        scheduler = make_scheduler(lambda target: float(TARGET_CAPACITY), now=10.0)
        assert count_admitted(scheduler, now) == N_WITHIN_LIMIT - n_reported


class TestLoadLimit:
    """Targets that are slower the fuller they are."""

    def test_limit_falls_when_programs_would_end_late(self):
        """Guards against all programs ending late on full targets."""
        assert mean_load_in_burst(stretch=3.0, deadline=1.5 * TURN_SECONDS) < 0.75

    @pytest.mark.parametrize("deadline", [1.5 * TURN_SECONDS, 2.0])
    def test_targets_that_stay_fast_are_filled(self, deadline):
        """Guards against slots that idle, also if refused callers don't return."""
        assert mean_load_in_burst(stretch=1.3, deadline=deadline) > 0.9

    @pytest.mark.parametrize("stretch", [1.3, 3.0])
    def test_targets_are_filled_while_callers_tolerate_their_slowdown(self, stretch):
        """Guards against refusals of programs that would have ended in time."""
        assert mean_load_in_burst(stretch, deadline=2.0, n_returns=2) > 0.9


def mean_load_in_burst(stretch, deadline, n_returns=0):
    """Return the mean fraction of slots in use in the last seconds of a burst.

    Turns take ``stretch`` times as long when all slots are in use. Each program has
    one turn. A refused program returns ``n_returns`` times at the announced time.
    """
    scheduler, targets = make_scheduler(), make_targets(4)
    slots = 4 * TARGET_CAPACITY
    found = Eligible(targets, slots)
    rng, now, running, used, waiting = random.Random(1), 10.0, [], [], {}
    returns = []

    def start_turn(number, at):
        load = len(running)
        seconds = TURN_SECONDS * (1.0 + (stretch - 1.0) * min(1.0, load / slots))
        heapq.heappush(running, (at + seconds, number, waiting.pop(number)))

    def send_turn(number, at):
        request = make_request(number, program=f"p{number}")
        answer = scheduler.place_turn(request, targets, at)
        waiting[number] = None
        if not isinstance(answer, TurnQueued):
            waiting[number] = answer.id
            start_turn(number, at)

    def grant(at):
        for decision in scheduler.grant_waiting(lambda request: found, at):
            if isinstance(decision, AdmissionGrant):
                send_turn(int(decision.program[1:]), at)
            else:
                waiting[decision.id.number] = decision.target.id
                start_turn(decision.id.number, at)

    def ask(number, began_at, n_left, at):
        request = make_program_request(f"p{number}", deadline - (at - began_at), n_left)
        answer = scheduler.admit_program(request, targets, slots, at)
        if answer == ProgramAdmitted():
            send_turn(number, at)
        elif isinstance(answer, ProgramRefused) and n_left:
            retry_at = at + answer.retry_seconds
            heapq.heappush(returns, (retry_at, number, began_at, n_left - 1))

    for number in range(8000):
        now += rng.expovariate(20.0 if now < 20.0 else 400.0)
        if now > 32.0:
            break
        while running and running[0][0] <= now:
            at, n, target = heapq.heappop(running)
            slowdown = 1.0 + (stretch - 1.0) * min(1.0, len(running) / slots)
            scheduler.end_turn(make_turn_id(n), target, make_result(slowdown), at)
            grant(at)
        grant(now)
        while returns and returns[0][0] <= now:
            at, n, began_at, n_left = heapq.heappop(returns)
            ask(n, began_at, n_left, at)
        ask(number, now, n_returns, now)
        if now > 25.0:
            used.append(len(running) / slots)
    assert now > 32.0
    return sum(used) / len(used)
