"""Outstanding turns whose ends are reported once, twice or never."""

import pytest

from swifttide_core.scheduling import Eligible
from swifttide_core.scheduling.tests._requests import (
    TARGET_CAPACITY,
    make_request,
    make_result,
    make_scheduler,
    make_targets,
    make_turn_id,
    outstanding,
)

TARGETS = make_targets(1)


class TestEndOfTurn:
    def test_ended_turn_frees_its_capacity_once(self):
        scheduler = make_scheduler()
        chosen = scheduler.place_turn(make_request(1), TARGETS, 10.0)
        scheduler.place_turn(make_request(2), TARGETS, 10.0)
        for _ in range(2):
            scheduler.end_turn(make_turn_id(1), chosen.id, make_result(), 10.2)
        assert outstanding(scheduler, "t0", 10.2) == 1
        scheduler.end_turn(make_turn_id(2), chosen.id, make_result(), 10.2)
        assert outstanding(scheduler, "t0", 10.2) == 0
        assert scheduler.status(10.2)["outstanding"] == {}

    @pytest.mark.parametrize("now, count", [(12.9, 1), (13.0, 0)])
    def test_turn_with_lost_end_expires(self, now, count):
        scheduler = make_scheduler()
        scheduler.place_turn(make_request(1, seconds=3.0), TARGETS, 10.0)
        eligible = Eligible(TARGETS, TARGET_CAPACITY)
        scheduler.grant_waiting(lambda request: eligible, now)
        assert outstanding(scheduler, "t0", now) == count

    def test_turn_missing_from_host_report_is_removed(self):
        """Guards against slots that stay taken after the report of an end is lost."""
        scheduler = make_scheduler()
        scheduler.place_turn(make_request(1), TARGETS, 10.0)
        scheduler.place_turn(make_request(2), TARGETS, 10.9)
        scheduler.place_turn(make_request(3, host="h2"), TARGETS, 10.0)
        scheduler.reconcile_host("h1", {}, 11.0)
        assert outstanding(scheduler, "t0", 11.0) == 2
