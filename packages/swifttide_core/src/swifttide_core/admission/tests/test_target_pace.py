"""The pace of targets under the load that its module names."""

import math
import random

import pytest

from swifttide_core.admission import (
    ColdTerms,
    KeeperStanding,
    Paced,
    PlaceLater,
    PlaceQuestion,
    TargetPace,
    TurnedAway,
    TurnId,
    TurnOrder,
)
from swifttide_core.forwarding import TargetEntry

TERMS = ColdTerms(bears_per_second=20.0, most_per_second=35.0)


class TestPace:
    @pytest.mark.parametrize("limit", [0.25, 1.0, 7.0, 23.5])
    def test_no_window_holds_more_than_the_limit(self, limit):
        """Guards against requests that bunch around the end of a second."""
        rng, pace, now, sent = random.Random(7), TargetPace(), 0.0, []
        while now < 60.0:
            now += rng.expovariate(60.0)
            if pace.wait_seconds("t", limit, now) <= 0.0:
                pace.note("t", now)
                sent.append(now)
        span = max(1.0, 1.0 / limit)
        for start in sent:
            n_within = sum(start <= t < start + span for t in sent)
            assert n_within <= max(1, int(limit))

    def test_wait_is_as_long_as_told(self):
        pace = TargetPace()
        pace.note("t", 10.0)
        assert pace.wait_seconds("t", 1.0, 10.25) == 0.75
        assert pace.wait_seconds("t", 1.0, 11.0) == 0.0
        assert pace.wait_seconds("t", 0.0, 11.0) == math.inf

    def test_nearest_target_decides_the_wait(self):
        pace = TargetPace()
        pace.note("a", 10.0)
        pace.note("b", 10.5)
        paced = Paced.of(pace, {"a": 1.0, "b": 1.0}, 10.75)
        assert (paced.targets, paced.wait_seconds) == ((), 0.25)


class TestLimits:
    def test_all_that_may_send_at_once_stay_within_the_bound(self):
        """Guards against limits that are each kept and too much together."""
        new, standin = KeeperStanding.new(), KeeperStanding.standin(12)
        for is_cold in (True, False):
            keepers = [KeeperStanding.settled(), *[standin] * 12]
            sums = sum(TERMS.keeper_limit(is_cold, k, 1.0) for k in keepers)
            assert sums + 90 * TERMS.host_limit(90) <= TERMS.most_per_second
        successor = TERMS.keeper_limit(True, new, 1.0)
        both = TERMS.keeper_limit(True, KeeperStanding.settled(), 1.0) + successor
        assert both + 90 * TERMS.host_limit(90) <= TERMS.most_per_second

    def test_hosts_cut_off_from_each_other_share_what_a_cold_target_bears(self):
        """Guards against a keeper on each side of a cut that uses all of it."""
        settled = KeeperStanding.settled()
        whole = TERMS.keeper_limit(True, settled, 1.0)
        parts = [TERMS.keeper_limit(True, settled, part) for part in (0.25, 0.75)]
        assert sum(parts) == pytest.approx(whole)


class TestOrder:
    """An order whose targets have all had what they may get."""

    def order(self):
        found = [TargetEntry("t0", "s", "ip", 1, "a", 6)]
        kept = TurnOrder(0.0, lambda target: 0.0)
        limits = {"t0": 2.0}
        for number in range(2):
            question = PlaceQuestion(TurnId("h", "b", number), "", "a", "", "", 4.0)
            assert kept.place(question, found, 10.0, limits) is not None
        return kept, found, limits

    def test_turn_is_told_when_to_ask_again(self):
        kept, found, limits = self.order()
        question = PlaceQuestion(TurnId("h", "b", 9), "", "a", "", "", 4.0)
        assert kept.place(question, found, 10.5, limits) == PlaceLater(0.5)
        assert kept.place(question, found, 11.0, limits) == found[0]

    def test_new_program_is_turned_away(self):
        """Guards against programs that begin where no turn may be sent."""
        kept, _, limits = self.order()
        answer = kept.enter("p", 2.0, ("t0",), 6, 10.5, limits)
        assert isinstance(answer, TurnedAway)
