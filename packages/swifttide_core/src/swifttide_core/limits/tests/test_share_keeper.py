"""A share and its row."""

import pytest

from swifttide_core.documents import Customer
from swifttide_core.limits import Pull, ShareKeeper, ZoneShares, check_zone_shares

CUSTOMER = Customer("c", 10.0, 40.0)
ZONES = ("a", "b")
HALVES = ZoneShares({"a": 0.5, "b": 0.5}, {})
FOREVER = float("inf")


def giving_keeper(now=10.0):
    """Return a keeper in zone a that has seen zone b in need."""
    past = float("-inf")
    keeper = ShareKeeper.from_row("a", ZONES, CUSTOMER, HALVES, 1, now, past)
    for n in range(20):
        pull = Pull("a", f"p{n}", 0.0, 20.0, 20.0)
        keeper.share.yield_to(now + n, "hb", pull, FOREVER, zone="b")
    return keeper, now + 20.0


class TestMove:
    def test_part_is_out_of_use_before_it_is_given(self):
        """A zone gives a part up and another takes it. Used in both for a moment, it
        is admitted twice.
        """
        keeper, now = giving_keeper()
        given = keeper.next_write(now)
        check_zone_shares(given)
        assert given.offers["b"] > 0.0
        assert keeper.share.fraction == pytest.approx(given.fraction("a"))

    def test_write_waits_until_lent_tokens_are_back(self):
        keeper, now = giving_keeper()
        keeper.share.draw(now, "h", 20.0, FOREVER, draw_id="d", partial=True)
        assert keeper.next_write(now + 0.01) is None
        assert keeper.next_write(now + 2.0) is not None

    def test_write_without_answer_stays_out_of_use(self):
        """The platform applies the write after the holder has stopped waiting. A
        holder that goes on as before uses a part that another zone has taken.
        """
        keeper, now = giving_keeper()
        given = keeper.next_write(now)
        keeper.learn(now, HALVES, 1)
        keeper.set_customer(now, CUSTOMER)
        assert keeper.share.fraction == pytest.approx(given.fraction("a"))

    def test_older_row_is_not_believed(self):
        """A read that was sent before the write comes back after it."""
        keeper, now = giving_keeper()
        given = keeper.next_write(now)
        keeper.learn(now, given, 2)
        keeper.learn(now, HALVES, 1)
        assert keeper.share.fraction == pytest.approx(given.fraction("a"))

    def test_offer_is_used_only_after_its_commit(self):
        row = ZoneShares({"a": 0.5, "b": 0.3}, {"a": 0.2})
        keeper = ShareKeeper.from_row("a", ZONES, CUSTOMER, row, 1, 0.0)
        taken = keeper.next_write(0.0)
        assert keeper.share.fraction == pytest.approx(0.5)
        keeper.learn(0.0, taken, 2)
        assert keeper.share.fraction == pytest.approx(0.7)

    def test_no_move_for_a_customer_that_is_short_everywhere(self):
        """A customer sends several times its rate. Moving shares to and fro would
        leave what is under way unused, and refuse it more than it deserves.
        """
        keeper, now = giving_keeper()
        for n in range(400):
            at = now - 4.0 + n / 100.0
            keeper.share.draw(at, "h", 1.0, FOREVER, draw_id=f"d{n}", zone="a")
        assert keeper.next_write(now) is None


class TestZoneShares:
    def test_row_that_is_no_division_is_refused(self):
        with pytest.raises(ValueError, match="add up to 1.2"):
            ZoneShares.from_row({"zones": {"a": 0.7, "b": 0.5}})

    def test_small_customer_is_kept_whole(self):
        shares = ZoneShares.from_config(Customer("c", 0.2, 4.0), ("a", "b", "c"))
        assert list(shares.zones.values()) == [1.0]
