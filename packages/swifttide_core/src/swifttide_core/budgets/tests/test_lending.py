"""Tests of program slots, lending records and turn sizes."""

import random

import pytest

from swifttide_core.budgets import (
    MIN_LENDING_DELAY_MS,
    N_SLOTS,
    LendingState,
    TurnSizeEstimate,
    plan_slots,
    slot_of,
)


class TestPlanSlots:
    def test_first_host_takes_all(self):
        assert plan_slots(frozenset(), [], 1, True) == frozenset(range(N_SLOTS))

    def test_host_releases_slots_beyond_its_fair_part(self):
        own = frozenset(range(N_SLOTS))
        kept = plan_slots(own, [], 4, True)
        assert len(kept) == N_SLOTS // 4
        assert kept < own

    def test_host_with_loans_releases_no_slot(self):
        own = frozenset(range(N_SLOTS))
        assert plan_slots(own, [], 4, False) == own

    @pytest.mark.parametrize("seed", range(20))
    def test_no_slot_has_two_owners(self, seed):
        """Hosts plan one at a time, as conditional writes of one row enforce."""
        rng = random.Random(seed)
        slots: dict[int, frozenset[int]] = {}
        for _ in range(200):
            host = rng.randrange(8)
            others = [s for h, s in slots.items() if h != host]
            n_hosts = len(slots.keys() | {host})
            own = slots.get(host, frozenset())
            slots[host] = plan_slots(own, others, n_hosts, rng.random() < 0.7)
            assert sum(map(len, slots.values())) == len(
                frozenset().union(*slots.values())
            )

    def test_slots_are_divided_evenly(self):
        slots = {h: frozenset() for h in range(11)}
        for _ in range(3):
            for host in slots:
                others = [s for h, s in slots.items() if h != host]
                slots[host] = plan_slots(slots[host], others, 11, True)
        assert sum(map(len, slots.values())) == N_SLOTS
        assert max(map(len, slots.values())) == 6

    def test_slot_of_a_key(self):
        assert slot_of("0041" + "0" * 28) == 0x41 % N_SLOTS


class TestLendingState:
    def test_successor_may_lend_if_predecessor_had_not_begun(self):
        assert (
            LendingState(1000, MIN_LENDING_DELAY_MS).successor_barred_until(
                1000 + MIN_LENDING_DELAY_MS - 1
            )
            == 0
        )

    def test_successor_is_barred_if_predecessor_may_have_lent(self):
        assert (
            LendingState(1000, MIN_LENDING_DELAY_MS).successor_barred_until(
                1000 + MIN_LENDING_DELAY_MS
            )
            > 1000
        )

    def test_successor_may_lend_after_planned_stop(self):
        assert LendingState(1000, closed=True).successor_barred_until(99_000) == 0

    def test_bar_persists_over_another_restart(self):
        assert (
            LendingState(
                1000, MIN_LENDING_DELAY_MS, barred_until_ms=70_000
            ).successor_barred_until(1001)
            == 70_000
        )


class TestTurnSizes:
    def test_reservation_is_the_maximum_before_any_turn(self):
        assert TurnSizeEstimate().reservation_size(286) == 286

    def test_reservation_follows_generated_tokens(self):
        sizes = TurnSizeEstimate()
        for _ in range(50):
            sizes.update(60)
        assert sizes.reservation_size(286) == 150
        assert sizes.reservation_size(100) == 100

    def test_usual_size_follows_generated_tokens(self):
        sizes = TurnSizeEstimate()
        assert sizes.usual_size(286) == 286
        sizes.update(65)
        assert sizes.usual_size(286) == 65
        assert sizes.usual_size(40) == 40
