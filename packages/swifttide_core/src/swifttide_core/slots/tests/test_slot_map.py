"""Placement on slots and hosts."""

from collections import Counter

from swifttide_core.slots import SlotKind, preferred_host, ranked_zones, slot_of

N_SLOTS = 64
HOSTS = [f"h{i}" for i in range(4)]


class TestPreferredHost:
    def test_only_slots_of_a_lost_host_move(self):
        """A host dies. If other slots moved too, programs on healthy hosts would
        stall for a takeover that nothing called for.
        """
        before = {s: preferred_host(s, HOSTS) for s in range(N_SLOTS)}
        after = {s: preferred_host(s, HOSTS[1:]) for s in range(N_SLOTS)}
        moved = {s for s in before if before[s] != after[s]}
        assert moved == {s for s in before if before[s] == "h0"}

    def test_no_live_host(self):
        assert preferred_host(3, []) is None


class TestSlotOf:
    def test_keys_are_spread_over_all_slots(self):
        counts = Counter(
            slot_of(SlotKind.PROGRAM, f"p{i}", N_SLOTS) for i in range(6400)
        )
        assert set(counts) == set(range(N_SLOTS))
        assert max(counts.values()) < 160


class TestRankedZones:
    def test_home_zones_are_balanced_and_stable(self):
        """A zone is lost. Only the programs at home there may move; the others would
        lose their engines' caches for nothing.
        """
        zones = ["a", "b", "c"]
        before = {f"p{i}": ranked_zones(f"p{i}", zones) for i in range(300)}
        assert set(Counter(z[0] for z in before.values())) == set(zones)
        for key, ranked in before.items():
            assert ranked_zones(key, ["a", "b"]) == [z for z in ranked if z != "c"]
