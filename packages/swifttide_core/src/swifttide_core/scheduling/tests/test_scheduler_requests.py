"""Requests to the scheduler that wait, are repeated or come after a change of host."""

from dataclasses import replace

from swifttide_core.forwarding import TargetEntry
from swifttide_core.scheduling import (
    AdmissionGrant,
    Eligible,
    PlacementRequest,
    ProgramRequest,
    TurnId,
    TurnQueued,
    TurnResult,
    TurnScheduler,
    WorkClass,
)
from swifttide_core.scheduling._rank_demand import MAX_RANKS
from swifttide_core.scheduling._target_room import QUEUED_PER_TARGET

CAPACITY = 6
TARGETS = [
    TargetEntry(f"t{n}", "chat", "10.0.0.1", 1, "zone-a", CAPACITY) for n in range(4)
]
N_SLOTS = len(TARGETS) * CAPACITY
N_ROOM = N_SLOTS + len(TARGETS) * QUEUED_PER_TARGET


def turn(number: int) -> PlacementRequest:
    """Return the only turn of a program."""
    id = TurnId("10.0.0.9", "boot", number)
    return PlacementRequest(id, f"p{number}", "zone-a", remaining_seconds=10.0)


def full_scheduler(now: float = 10.0) -> TurnScheduler:
    """Return a scheduler that has given all slots to turns 0 to `N_ROOM` - 1."""
    scheduler = TurnScheduler(0.0, lambda target: 0.0)
    for number in range(N_ROOM):
        assert isinstance(scheduler.place_turn(turn(number), TARGETS, now), TargetEntry)
    return scheduler


class CountedLimits(dict):
    """Limits of requests per second that count how often they are read."""

    n_reads = 0

    def __getitem__(self, target_id):
        self.n_reads += 1
        return super().__getitem__(target_id)


class TestGrants:
    """Turns that wait for a slot."""

    def test_targets_are_compared_once_for_all_waiting_turns(self):
        """A round took 27 ms with 300 waiting while a target that is down had slots."""
        down = TargetEntry("down", "chat", "10.0.0.1", 1, "zone-a", CAPACITY)
        scheduler = TurnScheduler(0.0, lambda target: 0.0)
        scheduler.place_turn(turn(999), [down], 10.0)
        for number in range(N_ROOM + 100):
            scheduler.place_turn(turn(number), TARGETS, 10.0)
        limits = CountedLimits({target.id: 1_000.0 for target in TARGETS})
        found = Eligible(TARGETS, N_SLOTS, limits)
        assert scheduler.grant_waiting(lambda request: found, 10.01) == []
        assert limits.n_reads <= 2 * len(TARGETS)

    def test_program_with_a_reservation_is_not_held_up(self):
        """A refused program that had returned waited behind one without a slot."""
        scheduler = full_scheduler()
        admission = scheduler._admission
        capacity, requests = N_SLOTS / 2, []
        for number, customer in ((900, "a"), (901, "b")):
            id = TurnId("10.0.0.9", "boot", number)
            work = WorkClass(0, customer, "")
            request = ProgramRequest(id, f"p{number}", work, 9.0)
            admission.programs.touch(request.program, work, 9.0, 10.0)
            admission._waiting.add(request, 11.0, 10.0 + number / 1e6)
            requests.append(request)
        admission.programs.reserve("p901", 10.0)
        for number in range(N_ROOM):
            if admission._fits(requests[1], capacity, 10.02):
                break
            id = turn(number).id
            scheduler._turns.remove(scheduler._turns.find(id), id)
        assert not admission._fits(requests[0], capacity, 10.02)
        found = Eligible(TARGETS, capacity)
        granted = scheduler.grant_waiting(lambda request: found, 10.02)
        assert granted[0].program == "p901"

    def test_programs_of_a_region_without_capacity_hold_up_no_others(self):
        """A program bound to a full region stopped all others of its route."""
        scheduler = TurnScheduler(0.0, lambda target: 0.0)
        admission = scheduler._admission
        for number, regions in ((900, frozenset({"north"})), (901, None)):
            id = TurnId("10.0.0.9", "boot", number)
            request = ProgramRequest(id, f"p{number}", regions=regions)
            admission.programs.touch(request.program, request.work, 0.0, 10.0)
            admission._waiting.add(request, 11.0, 10.0 + number / 1e6)

        def eligible(request):
            return Eligible([], 0.0) if request.regions else Eligible(TARGETS, N_SLOTS)

        granted = scheduler.grant_waiting(eligible, 10.02)
        assert [grant.program for grant in granted] == ["p901"]

    def test_limits_of_turns_do_not_apply_to_programs(self):
        """Programs were refused by the low limits of a new scheduler for turns."""
        scheduler = TurnScheduler(0.0, lambda target: 0.0)
        for number in range(N_ROOM + 1):
            scheduler.place_turn(turn(number), TARGETS, 10.0)
        id = TurnId("10.0.0.9", "boot", 900)
        request = ProgramRequest(id, "p900")
        scheduler._admission.programs.touch("p900", request.work, 0.0, 10.0)
        scheduler._admission._waiting.add(request, 10.01, 10.0)
        scheduler.end_turn(
            turn(0).id, scheduler._turns.find(turn(0).id), TurnResult(), 10.0
        )

        def eligible(request):
            if isinstance(request, ProgramRequest):
                return Eligible(TARGETS, N_SLOTS)
            return Eligible(TARGETS, N_SLOTS, dict.fromkeys(limits, 0.0))

        limits = [target.id for target in TARGETS]
        granted = scheduler.grant_waiting(eligible, 10.02)
        assert [type(grant) for grant in granted] == [AdmissionGrant]

    def test_deferred_turn_does_not_wait_any_more(self):
        """A turn whose host had been told to return later was still given a slot."""
        scheduler = full_scheduler()
        waiting = turn(900)
        assert isinstance(scheduler.place_turn(waiting, TARGETS, 10.0), TurnQueued)
        none = dict.fromkeys((target.id for target in TARGETS), 0.0)
        scheduler.place_turn(waiting, TARGETS, 10.1, none)
        ended = turn(0).id
        scheduler.end_turn(ended, scheduler._turns.find(ended), TurnResult(), 10.1)
        found = Eligible(TARGETS, N_SLOTS)
        assert scheduler.grant_waiting(lambda request: found, 10.11) == []


class TestState:
    """State of a scheduler over a long time."""

    def test_returning_scheduler_counts_reported_turns(self):
        """Slots of turns that another host had placed meanwhile were given again."""
        reported = dict.fromkeys((target.id for target in TARGETS), 0.0)
        scheduler = TurnScheduler(0.0, lambda target: reported[target])
        reported.update(dict.fromkeys(reported, float(CAPACITY + QUEUED_PER_TARGET)))
        scheduler.resume(10.0)
        assert isinstance(scheduler.place_turn(turn(0), TARGETS, 10.0), TurnQueued)

    def test_ranks_without_work_are_forgotten(self):
        """Each rank ever asked for was kept and compared at each decision."""
        scheduler = TurnScheduler(0.0, lambda target: 0.0)
        for rank in range(200):
            now = 10.0 + 0.1 * rank
            request = replace(turn(rank), work=WorkClass(rank))
            target = scheduler.place_turn(request, TARGETS, now)
            scheduler.end_turn(request.id, target.id, TurnResult(), now + 0.05)
        scheduler.place_turn(turn(900), TARGETS, 60.0)
        assert scheduler._turns.by_rank() == {0: 1.0}
        assert len(scheduler._turns._by_rank) == 1
        assert len(scheduler._admission._smoothed) <= MAX_RANKS
