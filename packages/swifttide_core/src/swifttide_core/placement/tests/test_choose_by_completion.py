"""Placement of turns by predicted completion, replayed without a network."""

import heapq
import random
from collections import Counter

import pytest

from swifttide_core.forwarding import TargetEntry
from swifttide_core.placement import (
    PlacementCandidate,
    SpeedEstimate,
    TargetLoad,
    TargetSpeeds,
    TurnDemand,
    TurnObservation,
    choose_by_completion,
    predict,
)
from swifttide_core.placement._prediction import (
    CROSS_ZONE_SECONDS,
    NEW_CONNECTION_SECONDS,
)


def candidate(name, outstanding=0.0, ratio=1.0, tokens=0, token_capacity=0, **more):
    entry = TargetEntry(name, "s", "10.0.0.1", 1, "a", 6)
    speed = SpeedEstimate(0.03 * ratio, 0.05 * ratio, 0.07, ratio / 80_000)
    load = TargetLoad(outstanding, 6, tokens, token_capacity)
    return PlacementCandidate(entry, speed, load, **more)


def chosen_id(candidates, demand=None, tie_key=""):
    return choose_by_completion(candidates, demand or TurnDemand(), tie_key).target.id


def replay(speed_at, n_targets, per_second, seconds, seed=1):
    """Return (placed at, target) of turns that learn the speeds of their targets."""
    rng = random.Random(seed)
    names = [f"t{i}" for i in range(n_targets)]
    entries = {n: TargetEntry(n, "s", "10.0.0.1", 1, "a", 6) for n in names}
    speeds, load, placed, ends = TargetSpeeds(), Counter(), [], []
    now, number = 0.0, 0
    while now < seconds:
        now += rng.expovariate(per_second)
        while ends and ends[0][0] <= now:
            end, _, name, seen = heapq.heappop(ends)
            load[name] -= 1
            speeds.observe(name, seen, end)
        found = choose_by_completion(
            [
                PlacementCandidate(
                    entries[n], speeds.estimate(n, now), TargetLoad(load[n], 6)
                )
                for n in names
            ],
            TurnDemand(),
            str(number),
        ).target.id
        n_others = load[found]
        slower = speed_at(found, now) * (1 + 0.07 * min(5, n_others))
        slower *= rng.lognormvariate(0.0, 0.05)
        seen = TurnObservation(0.03 * slower, 0.05 * slower, 4, 0, n_others, 6)
        wait = max(0, n_others - 5) * 0.03 * slower
        heapq.heappush(ends, (now + wait + 0.18 * slower, number, found, seen))
        load[found] += 1
        placed.append((now, found))
        number += 1
    return placed


class TestPredict:
    def test_wait_begins_when_all_slots_are_occupied(self):
        waits = [predict(candidate("t", n), TurnDemand()).wait_seconds for n in (5, 6)]
        assert waits == [0.0, pytest.approx(0.18 * 1.35 / 6)]

    def test_terms_add_up(self):
        found = predict(candidate("t", 2.0, is_remote=True), TurnDemand(800, 3.0))
        assert found.read_seconds == pytest.approx(0.01)
        assert found.decode_seconds == pytest.approx(0.13 * 1.14)
        network = CROSS_ZONE_SECONDS + NEW_CONNECTION_SECONDS
        assert found.network_seconds == pytest.approx(network)
        assert found.delay_seconds == pytest.approx(2 * (0.01 + 2 * 0.05 * 0.07))
        assert found.finish_seconds == pytest.approx(0.01 + network + 0.13 * 1.14)
        assert found.cost_seconds == found.finish_seconds + found.delay_seconds


class TestChooseByCompletion:
    def test_no_candidates(self):
        assert choose_by_completion((), TurnDemand()) is None

    def test_cached_prompt_is_used_while_a_slot_is_free(self):
        targets = [candidate("t0", 3.0, cached_tokens=8_000), candidate("t1", 1.0)]
        assert chosen_id(targets, TurnDemand(8_000)) == "t0"

    @pytest.mark.parametrize(("tokens", "chosen"), [(400, "t1"), (8_000, "t0")])
    def test_full_target_is_chosen_only_for_a_long_cached_prompt(self, tokens, chosen):
        """Guards against turns that queue for a short prompt while others are free.

        And against long prompts that are read again, which holds up all other turns.
        """
        targets = [candidate("t0", 6.0, cached_tokens=tokens), candidate("t1", 5.0)]
        assert chosen_id(targets, TurnDemand(tokens)) == chosen

    def test_memory_is_exceeded_only_if_all_targets_are_full(self):
        """Guards against turns that are interrupted for lack of memory."""
        full = candidate("t0", 1.0, tokens=9_500, token_capacity=10_000)
        other = candidate("t1", 9.0, 3.0, tokens=1_000, token_capacity=10_000)
        demand = TurnDemand(prompt_tokens=600)
        assert chosen_id([full, other], demand) == "t1"
        assert chosen_id([full], demand) == "t0"

    def test_ties_follow_the_key(self):
        targets = [candidate(f"t{i}") for i in range(4)]
        counts = Counter(chosen_id(targets, tie_key=f"s{i}") for i in range(400))
        assert min(counts.values()) > 60
        assert chosen_id(targets, None, "s") == chosen_id(targets[::-1], None, "s")

    def test_near_and_connected_targets_are_preferred(self):
        near = candidate("near", 0.0)
        assert chosen_id([candidate("far", is_remote=True), near]) == "near"
        assert chosen_id([near, candidate("c", is_connected=True)]) == "c"

    @pytest.mark.parametrize(
        ("slack", "n_outstanding", "expected"),
        [(None, 5.5, "f"), (0.05, 5.5, "f"), (0.6, 5.5, "s"), (0.6, 2.0, "f")],
    )
    def test_slack_gives_way_only_under_scarcity(self, slack, n_outstanding, expected):
        """Guards against the last fast slots going to turns that could wait."""
        targets = [candidate(f"f{i}", n_outstanding, 0.7) for i in range(4)]
        targets += [candidate(f"s{i}", 0.0, 1.7) for i in range(2)]
        assert chosen_id(targets, TurnDemand(0, 4, slack_seconds=slack))[0] == expected


class TestReplay:
    def test_slow_targets_get_fewer_turns(self):
        """Guards against a slow third that gets as many turns as the others."""
        placed = replay(lambda n, now: 1.7 if n in "t0 t3" else 0.7, 6, 120, 20.0)
        counts = Counter(name for now, name in placed if now > 2.0)
        slow = (counts["t0"] + counts["t3"]) / 2
        fast = sum(counts[f"t{i}"] for i in (1, 2, 4, 5)) / 4
        assert 0 < slow < 0.5 * fast

    def test_equal_targets_are_loaded_evenly(self):
        placed = replay(lambda n, now: 1.0, 8, 150, 20.0)
        counts = Counter(name for _, name in placed)
        assert max(counts.values()) < 1.2 * min(counts.values())

    def test_target_in_a_slow_phase_is_left_and_used_again(self):
        """Guards against turns that keep going to a slow target, or never return."""

        def speed(name, now):
            return 2.5 if name == "t0" and 8.0 <= now < 8.6 else 1.0

        placed = replay(speed, 8, 120, 11.0)
        times = [now for now, name in placed if name == "t0"]
        usual = sum(4.0 <= now < 8.0 for now in times) / 4.0
        assert sum(8.3 <= now < 8.7 for now in times) < 0.6 * 0.4 * usual
        assert sum(9.6 <= now < 10.6 for now in times) > 0.6 * usual

    def test_lasting_change_is_found_by_few_turns(self):
        """Guards against a herd of turns to a target whose speed is no longer known."""

        def speed(name, now):
            return 2.5 if name == "t0" and 5.0 <= now < 15.0 else 1.0

        placed = replay(speed, 8, 100, 20.0)
        times = [now for now, name in placed if name == "t0"]
        usual = sum(2.0 <= now < 5.0 for now in times) / 3.0
        assert sum(5.0 <= now < 6.0 for now in times) < 0.7 * usual
        assert sum(7.0 <= now < 15.0 for now in times) < 0.35 * 8 * usual
        assert sum(17.0 <= now < 20.0 for now in times) > 0.7 * 3 * usual
