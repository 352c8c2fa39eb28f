"""A share and its row."""

import pytest

from swifttide_core.documents import Customer
from swifttide_core.limits import Pull, ZoneShareManager, ZoneShares, check_zone_shares

CUSTOMER = Customer("c", 10.0, 40.0)
ZONES = ("a", "b")
HALVES = ZoneShares({"a": 0.5, "b": 0.5}, {})
FOREVER = float("inf")


def manager_with_demand_from_other_zone(now=10.0):
    """Return a keeper in zone a that has seen zone b in need."""
    past = float("-inf")
    keeper = ZoneShareManager.from_row("a", ZONES, CUSTOMER, HALVES, 1, now, past)
    for n in range(20):
        pull = Pull("a", f"p{n}", 0.0, 20.0, 20.0)
        keeper.share.answer_pull(now + n, "hb", pull, FOREVER, zone="b")
    return keeper, now + 20.0


class TestTransfer:
    def test_fraction_is_unused_before_it_is_offered(self):
        """A zone gives a part up and another takes it. Used in both for a moment, it
        is admitted twice.
        """
        keeper, now = manager_with_demand_from_other_zone()
        given = keeper.next_write(now)
        check_zone_shares(given)
        assert given.offers["b"] > 0.0
        assert keeper.share.fraction == pytest.approx(given.fraction("a"))

    def test_write_waits_until_lent_tokens_expire(self):
        keeper, now = manager_with_demand_from_other_zone()
        keeper.share.draw(now, "h", 20.0, FOREVER, draw_id="d", partial=True)
        assert keeper.next_write(now + 0.01) is None
        assert keeper.next_write(now + 2.0) is not None

    def test_fraction_stays_unused_while_write_outcome_is_unknown(self):
        """The platform applies the write after the holder has stopped waiting. A
        holder that goes on as before uses a part that another zone has taken.
        """
        keeper, now = manager_with_demand_from_other_zone()
        given = keeper.next_write(now)
        keeper.apply_row(now, HALVES, 1)
        keeper.set_customer(now, CUSTOMER)
        assert keeper.share.fraction == pytest.approx(given.fraction("a"))

    def test_older_row_version_is_ignored(self):
        """A read that was sent before the write comes back after it."""
        keeper, now = manager_with_demand_from_other_zone()
        given = keeper.next_write(now)
        keeper.apply_row(now, given, 2)
        keeper.apply_row(now, HALVES, 1)
        assert keeper.share.fraction == pytest.approx(given.fraction("a"))

    def test_offer_is_used_only_after_commit(self):
        row = ZoneShares({"a": 0.5, "b": 0.3}, {"a": 0.2})
        keeper = ZoneShareManager.from_row("a", ZONES, CUSTOMER, row, 1, 0.0)
        taken = keeper.next_write(0.0)
        assert keeper.share.fraction == pytest.approx(0.5)
        keeper.apply_row(0.0, taken, 2)
        assert keeper.share.fraction == pytest.approx(0.7)

    def test_no_transfer_if_own_zone_needs_its_share(self):
        """A customer sends several times its rate. Moving shares to and fro would
        leave what is under way unused, and refuse it more than it deserves.
        """
        keeper, now = manager_with_demand_from_other_zone()
        for n in range(400):
            at = now - 4.0 + n / 100.0
            keeper.share.draw(at, "h", 1.0, FOREVER, draw_id=f"d{n}", zone="a")
        assert keeper.next_write(now) is None


class TestZoneShares:
    def test_fractions_must_add_up_to_one(self):
        with pytest.raises(ValueError, match="add up to 1.2"):
            ZoneShares.from_row({"zones": {"a": 0.7, "b": 0.5}})

    def test_small_burst_is_not_divided(self):
        shares = ZoneShares.from_config(Customer("c", 0.2, 4.0), ("a", "b", "c"))
        assert list(shares.zones.values()) == [1.0]
