"""Places that are kept free for more urgent ranks."""

import pytest

from swifttide_core.scheduling import RankDemand
from swifttide_core.scheduling._rank_demand import FORGET_SECONDS, MAX_RANKS


def observe_every_turn(demand, counts, start, end):
    for step in range(round((end - start) / 0.05)):
        demand.observe(counts, start + 0.05 * (step + 1))


class TestRankDemand:
    def test_nothing_is_reserved_without_recent_demand(self):
        """Guards against a fixed fraction that stays unused."""
        demand = RankDemand()
        observe_every_turn(demand, {2: 130}, 0.0, 5.0)
        assert demand.reserved_above(2, {2: 130}, 5.0) == 0

    def test_need_rises_at_once_and_is_reserved_for_less_urgent_ranks_only(self):
        demand = RankDemand()
        demand.observe({0: 20, 1: 5, 2: 100}, 10.0)
        now = {0: 12, 1: 6, 2: 100}
        assert demand.reserved_above(2, now, 10.0) == pytest.approx(8)
        assert demand.reserved_above(1, now, 10.0) == pytest.approx(8)
        assert demand.reserved_above(0, now, 10.0) == 0

    def test_reservation_is_released_within_about_a_second(self):
        """Guards against slots that stay unused when the demand has ended."""
        demand = RankDemand()
        demand.observe({0: 20}, 10.0)
        observe_every_turn(demand, {}, 10.0, 11.0)
        assert demand.reserved_above(2, {}, 11.0) < 0.4 * 20
        observe_every_turn(demand, {}, 11.0, 14.0)
        assert demand.reserved_above(2, {}, 14.0) == 0
        demand.observe({0: 20}, 14.0)
        observe_every_turn(demand, {0: 8}, 14.0, 22.0)
        assert demand.reserved_above(2, {}, 22.0) == pytest.approx(8, abs=0.1)

    def test_reservation_is_released_without_further_observations(self):
        """Guards against a reservation that lasts when no work is observed any more."""
        demand = RankDemand()
        demand.observe({0: 20}, 10.0)
        assert demand.reserved_above(2, {}, 14.0) == 0

    def test_unseen_ranks_are_forgotten_and_ranks_are_bounded(self):
        """Guards against growth with ranks that other hosts send."""
        demand = RankDemand()
        demand.observe(dict.fromkeys(range(MAX_RANKS + 10), 1), 10.0)
        assert len(demand._needs) == MAX_RANKS
        demand.observe({3: 1}, 11.0 + FORGET_SECONDS)
        assert list(demand._needs) == [3]
