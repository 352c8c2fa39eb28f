"""Tests of the mapping of keys to slots, hosts and zones."""

from collections import Counter

from swifttide_core.slots import SlotKind, preferred_host, ranked_zones, slot_of

N_SLOTS = 64
HOSTS = [f"h{i}" for i in range(4)]


class TestPreferredHost:
    def test_only_slots_of_a_lost_host_move(self):
        """Guards against unnecessary takeovers when a host fails.

        If slots of other hosts moved too, programs on healthy hosts would be delayed
        by a takeover.
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
        """Guards against unnecessary moves of programs when a zone fails.

        Only programs whose home is the failed zone may move. The others would lose
        their engine caches.
        """
        zones = ["a", "b", "c"]
        before = {f"p{i}": ranked_zones(f"p{i}", zones) for i in range(300)}
        assert set(Counter(z[0] for z in before.values())) == set(zones)
        for key, ranked in before.items():
            assert ranked_zones(key, ["a", "b"]) == [z for z in ranked if z != "c"]
