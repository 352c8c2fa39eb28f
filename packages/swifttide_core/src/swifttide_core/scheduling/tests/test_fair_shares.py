"""Service that ranks and customers received recently."""

import math

import pytest

from swifttide_core.scheduling import FairShares, WorkClass, _fair_shares

URGENT, BULK = WorkClass(0, "a"), WorkClass(2, "a")


class TestFairShares:
    def test_service_halves_in_the_half_life_and_fractions_stay(self):
        shares = FairShares()
        shares.record(URGENT, 3.0, 10.0)
        shares.record(BULK, 1.0, 10.0)
        later = 10.0 + _fair_shares.HALF_LIFE_SECONDS
        assert shares.customer_service(URGENT, later) == pytest.approx(1.5)
        fractions = [shares.rank_fraction(rank, later) for rank in (0, 2)]
        assert fractions == pytest.approx([0.75, 0.25])

    def test_nothing_recorded_or_long_ago_is_zero(self):
        """Guards against a turn of minutes ago that counts as all recent service."""
        shares = FairShares()
        assert shares.rank_fraction(0, 10.0) == shares.customer_service(BULK, 10.0) == 0
        shares.record(BULK, 0.2, 10.0)
        assert shares.rank_fraction(1, 10.0) == 0
        assert shares.rank_fraction(2, 100.0) == 0

    def test_corrections_keep_sums_above_zero(self):
        """Guards against a negative sum, which would put its customer first."""
        shares = FairShares()
        shares.record(URGENT, 0.4, 10.0)
        shares.record(BULK, 0.4, 10.0)
        shares.record(URGENT, -0.2, 10.0)
        assert shares.rank_fraction(0, 10.0) == pytest.approx(1 / 3)
        shares.record(URGENT, -9.0, 10.0)
        shares.record(URGENT, math.nan, 10.0)
        assert shares.customer_service(URGENT, 10.0) == 0
        assert shares.rank_fraction(2, 10.0) == pytest.approx(1.0)

    def test_memory_is_bounded_and_the_latest_stay(self):
        """Guards against growth with names of customers and ranks that callers send."""
        shares = FairShares()
        for number in range(_fair_shares.MAX_CUSTOMERS + 100):
            shares.record(WorkClass(number, f"c{number}"), 1.0, 10.0)
        assert len(shares._customers) == _fair_shares.MAX_CUSTOMERS
        assert len(shares._ranks) == _fair_shares.MAX_RANKS
        assert shares.customer_service(WorkClass(number, f"c{number}"), 10.0) == 1.0
