"""Choosing a target under the loads that its module names."""

from swifttide_core.forwarding import Candidate, TargetEntry, choose_target


def candidate(id, outstanding=0.0, zone="a", capacity=12):
    entry = TargetEntry(id, "s", "10.0.0.1", 1, zone, capacity)
    return Candidate(entry, outstanding)


class TestChooseTarget:
    def test_no_candidates(self):
        assert choose_target((), "a", "s1") is None

    def test_sessions_stay_where_their_prompt_is_cached(self):
        """Turns of many sessions arrive at hosts of both zones.

        Each session has one target as long as the load is even; elsewhere its prompt
        would be read again.
        """
        targets = [candidate(f"t{i}") for i in range(4)]
        for session in (f"s{i}" for i in range(50)):
            at_home = choose_target(targets, "a", session)
            again = choose_target(reversed(targets), "a", session)
            assert at_home.id == again.id

    def test_full_target_is_left_though_the_prompt_is_there(self):
        targets = [candidate(f"t{i}") for i in range(4)]
        preferred = choose_target(targets, "a", "s1").id
        loaded = [
            candidate(t.target.id, 5.0 if t.target.id == preferred else 0.0)
            for t in targets
        ]
        assert choose_target(loaded, "a", "s1").id != preferred

    def test_subjects_spread_over_targets(self):
        targets = [candidate(f"t{i}") for i in range(4)]
        counts = {}
        for i in range(400):
            found = choose_target(targets, "a", f"s{i}").id
            counts[found] = counts.get(found, 0) + 1
        assert min(counts.values()) > 60

    def test_target_that_leaves_moves_only_its_own_subjects(self):
        targets = [candidate(f"t{i}") for i in range(4)]
        before = {i: choose_target(targets, "a", f"s{i}").id for i in range(200)}
        after = {i: choose_target(targets[1:], "a", f"s{i}").id for i in range(200)}
        moved = [i for i in before if before[i] != after[i]]
        assert all(before[i] == "t0" for i in moved)

    def test_own_zone_goes_before_another_that_is_hardly_better(self):
        targets = [candidate("near", 1.5, "a"), candidate("far", 1.0, "b")]
        assert choose_target(targets, "a", "").id == "near"

    def test_other_zone_takes_over_when_the_own_one_is_full(self):
        targets = [candidate("near", 8.0, "a"), candidate("far", 2.0, "b")]
        assert choose_target(targets, "a", "").id == "far"

    def test_load_counts_against_size(self):
        targets = [candidate("small", 4.0, capacity=4), candidate("large", 6.0)]
        assert choose_target(targets, "a", "").id == "large"
