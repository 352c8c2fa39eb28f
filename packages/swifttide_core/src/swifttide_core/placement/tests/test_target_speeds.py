"""Learned speeds of targets."""

import math
import random

import pytest

from swifttide_core.placement import TargetSpeeds, TurnObservation


def observe(speeds, target, now, ratio=1.0, n_others=0, slowdown=0.07, read=0):
    growth = 1.0 + slowdown * n_others
    first = ratio * (0.03 * growth + read / 80_000)
    seen = TurnObservation(first, 0.05 * ratio * growth, 4, read, n_others, 6)
    speeds.observe(target, seen, now)


def ratio(speeds, target, now):
    usual = speeds.estimate("unknown", now).gap_seconds
    return speeds.estimate(target, now).gap_seconds / usual


class TestTargetSpeeds:
    def test_target_without_observations_counts_as_usual(self):
        found = TargetSpeeds().estimate("t0", 5.0)
        assert found.gap_seconds == pytest.approx(0.05)
        assert found.first_seconds == pytest.approx(0.03)
        assert found.slowdown_per_turn == pytest.approx(0.07)
        assert found.seconds_per_token == pytest.approx(1 / 80_000)

    def test_speeds_of_three_kinds_of_targets(self):
        """Guards against mixing up a target's own speed with its slow phases."""
        rng = random.Random(1)
        speeds = TargetSpeeds()
        own = {f"t{i}": (0.7, 0.7, 1.0, 1.7)[i % 4] for i in range(8)}
        for step in range(2_000):
            target = f"t{step % 8}"
            phase = 2.5 if (step // 100 + step % 8) % 7 == 0 else 1.0
            n_others = rng.randrange(6)
            noise = rng.lognormvariate(0.0, 0.1)
            observe(speeds, target, step / 200, own[target] * phase * noise, n_others)
        for target, expected in own.items():
            found = speeds.estimate(target, 11.0).gap_seconds
            assert found == pytest.approx(0.05 * expected, rel=0.25)

    def test_slow_phase_shows_at_once_and_fades(self):
        """Guards against turns that follow into a slow phase or avoid it for long."""
        speeds = TargetSpeeds()
        for step in range(100):
            observe(speeds, "t0", step * 0.05)
        for step in range(3):
            observe(speeds, "t0", 5.0 + step * 0.05, 2.5)
        assert ratio(speeds, "t0", 5.15) > 1.7
        assert ratio(speeds, "t0", 6.2) < 1.25

    def test_single_outlier_has_a_bounded_and_short_effect(self):
        """Guards against a hanging turn that keeps a good target unused."""
        speeds = TargetSpeeds()
        for step in range(100):
            observe(speeds, "t0", step * 0.05)
        observe(speeds, "t0", 5.0, 1_000.0)
        assert ratio(speeds, "t0", 5.0) < 2.2
        assert ratio(speeds, "t0", 6.0) < 1.1
        for step in range(200):
            observe(speeds, "t0", 6.0 + step * 0.01, 1_000.0)
        slow = speeds.estimate("t0", 8.0).gap_seconds
        assert slow <= 10.001 * speeds.estimate("unknown", 8.0).gap_seconds

    def test_unobserved_target_drifts_to_the_usual_speed(self):
        speeds = TargetSpeeds()
        for step in range(400):
            observe(speeds, f"t{step % 4}", step * 0.01, 2.4 if step % 4 == 0 else 1.0)
        before = math.log(ratio(speeds, "t0", 5.0))
        later = math.log(ratio(speeds, "t0", 20.0))
        assert before > math.log(1.5)
        assert later == pytest.approx(before / 2, rel=0.1)

    @pytest.mark.parametrize("slowdown", [0.02, 0.15])
    def test_slowdown_per_turn_is_learned(self, slowdown):
        """Guards against taking occupancy for the speed of a target."""
        rng = random.Random(2)
        speeds = TargetSpeeds()
        for step in range(4_000):
            n_others = rng.randrange(6)
            observe(speeds, f"t{step % 8}", step / 200, 1.0, n_others, slowdown)
        found = speeds.estimate("t0", 20.0)
        assert found.slowdown_per_turn == pytest.approx(slowdown, abs=0.03)
        assert found.gap_seconds == pytest.approx(0.05, rel=0.1)

    def test_prefill_time_is_learned_from_long_prompts(self):
        speeds = TargetSpeeds()
        for step in range(400):
            tokens = 3_000 if step % 2 else 0
            first = 0.03 + tokens / 20_000
            seen = TurnObservation(first, 0.05, 4, tokens, 0, 6)
            speeds.observe("t0", seen, step * 0.02)
        found = speeds.estimate("t0", 8.0)
        assert found.seconds_per_token == pytest.approx(1 / 20_000, rel=0.1)
        assert found.first_seconds == pytest.approx(0.03, rel=0.1)

    def test_targets_without_gaps_are_compared_by_their_first_event(self):
        """Guards against a plain service, with one event, for which none is learned."""
        speeds = TargetSpeeds()
        for step in range(400):
            first = 0.2 if step % 2 else 0.1
            seen = TurnObservation(first, None, 1, 0, 0, 6)
            speeds.observe(f"t{step % 2}", seen, step * 0.02)
        fast, slow = (speeds.estimate(t, 8.0).first_seconds for t in ("t0", "t1"))
        assert fast == pytest.approx(0.1, rel=0.15)
        assert slow == pytest.approx(0.2, rel=0.15)

    def test_successor_continues_with_restored_speeds(self):
        speeds, successor = TargetSpeeds(), TargetSpeeds()
        for step in range(200):
            observe(speeds, f"t{step % 2}", 50.0 + step * 0.02, 1.0 + step % 2)
        successor.restore(speeds.snapshot(), 3.0)
        for target in ("t0", "t1"):
            assert ratio(successor, target, 3.0) == pytest.approx(
                ratio(speeds, target, 56.0), rel=0.1
            )

    def test_invalid_input_is_ignored(self):
        """Guards against forged datagrams that make all estimates NaN."""
        speeds = TargetSpeeds()
        speeds.restore({"t0": [math.nan, 1.0, 0.0], "t1": [1.0], "": [1.0]}, 1.0)
        for seconds in (math.nan, math.inf, -1.0, 0.0):
            speeds.observe("t0", TurnObservation(seconds, seconds, 4, 0, 0, 6), 1.0)
        assert speeds.estimate("t0", 1.0).gap_seconds == pytest.approx(0.05)

    def test_forgotten_target_counts_as_usual(self):
        speeds = TargetSpeeds()
        observe(speeds, "t0", 1.0, 3.0)
        speeds.forget("t0")
        assert ratio(speeds, "t0", 1.0) == 1.0
