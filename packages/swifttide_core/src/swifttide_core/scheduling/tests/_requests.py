"""Requests and targets for the tests of the scheduler."""

from swifttide_core.forwarding import TargetEntry
from swifttide_core.scheduling import (
    PlacementRequest,
    ProgramRequest,
    TurnId,
    TurnResult,
    TurnScheduler,
)

TARGET_CAPACITY = 6
TURN_SECONDS = 0.2
FIRST_SECONDS = 0.02


def make_targets(count):
    return [
        TargetEntry(f"t{i}", "s", "10.0.0.1", 1, "ab"[i % 2], TARGET_CAPACITY)
        for i in range(count)
    ]


def make_scheduler(reported_outstanding=lambda target: 0.0, now=0.0):
    return TurnScheduler(now, reported_outstanding)


def make_turn_id(number, host="h1"):
    return TurnId(host, "boot", number)


def make_request(number, host="h1", seconds=4.0, program=""):
    return PlacementRequest(
        make_turn_id(number, host), program, "a", remaining_seconds=seconds
    )


def make_program_request(program, seconds=2.0, number=0):
    return ProgramRequest(
        TurnId(program, "boot", number), program, seconds_left=seconds
    )


def make_result(slowdown=1.0):
    gap = (TURN_SECONDS - FIRST_SECONDS) / 3
    return TurnResult(slowdown * FIRST_SECONDS, slowdown * gap, 4, True)


def place_turns(scheduler, targets, count, now=10.0):
    return [
        scheduler.place_turn(make_request(number), targets, now)
        for number in range(count)
    ]


def outstanding(scheduler, target, now):
    """Return the outstanding turns at a target as an operator sees them."""
    return scheduler.status(now)["targets"][target][1]
