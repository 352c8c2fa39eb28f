"""Tests of a zone's share and its ``shares`` row."""

import pytest

from swifttide_core.documents import Customer
from swifttide_core.limits import Pull, ZoneShareManager, ZoneShares, check_zone_shares

CUSTOMER = Customer("c", 10.0, 40.0)
ZONES = ("a", "b")
HALVES = ZoneShares({"a": 0.5, "b": 0.5}, {})
FOREVER = float("inf")


def manager_with_demand_from_other_zone(now=10.0):
    """Return the manager of zone a after demand from zone b, and the time."""
    past = float("-inf")
    manager = ZoneShareManager.from_row("a", ZONES, CUSTOMER, HALVES, 1, now, past)
    for n in range(20):
        pull = Pull("a", f"p{n}", 0.0, 20.0, 20.0)
        manager.share.answer_pull(now + n, "hb", pull, FOREVER, zone="b")
    return manager, now + 20.0


class TestTransfer:
    def test_fraction_is_unused_before_it_is_offered(self):
        """Guards against using a fraction in two zones at once.

        A zone offers a fraction and another accepts it. If both used it at the same
        time, requests would be admitted twice.
        """
        manager, now = manager_with_demand_from_other_zone()
        offered = manager.next_write(now)
        check_zone_shares(offered)
        assert offered.offers["b"] > 0.0
        assert manager.share.fraction == pytest.approx(offered.fraction("a"))

    def test_write_waits_until_lent_tokens_expire(self):
        manager, now = manager_with_demand_from_other_zone()
        manager.share.draw(now, "h", 20.0, FOREVER, draw_id="d", partial=True)
        assert manager.next_write(now + 0.01) is None
        assert manager.next_write(now + 2.0) is not None

    def test_fraction_stays_unused_while_write_outcome_is_unknown(self):
        """Guards against using a fraction after a write with unknown outcome.

        The platform applies the write after the holder stopped waiting for the answer,
        and another zone may already use the fraction.
        """
        manager, now = manager_with_demand_from_other_zone()
        offered = manager.next_write(now)
        manager.apply_row(now, HALVES, 1)
        manager.set_customer(now, CUSTOMER)
        assert manager.share.fraction == pytest.approx(offered.fraction("a"))

    def test_older_row_version_is_ignored(self):
        """The answer to a read that was sent before the write arrives after it."""
        manager, now = manager_with_demand_from_other_zone()
        offered = manager.next_write(now)
        manager.apply_row(now, offered, 2)
        manager.apply_row(now, HALVES, 1)
        assert manager.share.fraction == pytest.approx(offered.fraction("a"))

    def test_offer_is_used_only_after_commit(self):
        row = ZoneShares({"a": 0.5, "b": 0.3}, {"a": 0.2})
        manager = ZoneShareManager.from_row("a", ZONES, CUSTOMER, row, 1, 0.0)
        accepted = manager.next_write(0.0)
        assert manager.share.fraction == pytest.approx(0.5)
        manager.apply_row(0.0, accepted, 2)
        assert manager.share.fraction == pytest.approx(0.7)

    def test_no_transfer_if_own_zone_needs_its_share(self):
        """Guards against repeated transfers for a customer above its rate.

        Fractions in transfer are unused, so that more requests would be refused than
        its limits require.
        """
        manager, now = manager_with_demand_from_other_zone()
        for n in range(400):
            at = now - 4.0 + n / 100.0
            manager.share.draw(at, "h", 1.0, FOREVER, draw_id=f"d{n}", zone="a")
        assert manager.next_write(now) is None


class TestZoneShares:
    def test_fractions_must_add_up_to_one(self):
        with pytest.raises(ValueError, match="add up to 1.2"):
            ZoneShares.from_row({"zones": {"a": 0.7, "b": 0.5}})

    def test_small_burst_is_not_divided(self):
        shares = ZoneShares.from_config(Customer("c", 0.2, 4.0), ("a", "b", "c"))
        assert list(shares.zones.values()) == [1.0]
