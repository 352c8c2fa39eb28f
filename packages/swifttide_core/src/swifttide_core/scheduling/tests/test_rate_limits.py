"""A scheduler whose targets have all reached their rate limits."""

from swifttide_core.admission import PlacementDeferred, ProgramRefused
from swifttide_core.scheduling.tests._requests import (
    make_program_request,
    make_request,
    make_scheduler,
    make_targets,
)

TARGETS = make_targets(1)
LIMITS = {"t0": 2.0}


def scheduler_at_limit():
    scheduler = make_scheduler()
    for number in range(2):
        request = make_request(number)
        assert scheduler.place_turn(request, TARGETS, 10.0, LIMITS) == TARGETS[0]
    return scheduler


class TestRateLimits:
    def test_deferred_turn_gets_retry_time(self):
        scheduler = scheduler_at_limit()
        answer = scheduler.place_turn(make_request(9), TARGETS, 10.5, LIMITS)
        assert answer == PlacementDeferred(0.5)
        answer = scheduler.place_turn(make_request(9), TARGETS, 11.0, LIMITS)
        assert answer == TARGETS[0]

    def test_new_program_is_refused_when_no_target_is_ready(self):
        """Guards against programs that start when no turn may be sent."""
        request = make_program_request("p")
        answer = scheduler_at_limit().admit_program(request, TARGETS, 6, 10.5, LIMITS)
        assert isinstance(answer, ProgramRefused)
