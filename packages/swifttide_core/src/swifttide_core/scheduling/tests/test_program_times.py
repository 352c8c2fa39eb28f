"""Turns, times and deadlines of programs, learned by route."""

import math

import pytest

from swifttide_core.scheduling import ProgramTimes, _program_times


def run_program(times, name="p", n_turns=3, seconds_left=2.0, turn=0.1, start=10.0):
    """Run turns at low load with 0.1 s between them; end the program."""
    times.begin(name, "r", seconds_left, start)
    for number in range(n_turns):
        end = start + turn * (number + 1) + 0.1 * number
        times.turn_ended(name, turn, True, end)
    times.expire(end + 2.1)


class TestLearning:
    def test_prior_until_a_program_has_ended(self):
        times = ProgramTimes()
        times.begin("p", "r", 9.0, 10.0)
        assert times.turns_per_program("r") == 4
        assert times.needed_seconds("r") == pytest.approx(4 * 0.35)
        assert times.tolerable_wait("r") == pytest.approx(0.4 * 4 * 0.35 / 4)
        assert times.low_load_turn_seconds("r") == times.turn_seconds("r") == 0.2

    def test_tolerable_wait_spreads_the_slack_over_the_turns(self):
        times = ProgramTimes()
        run_program(times)
        assert times.turns_per_program("r") == 3
        assert times.needed_seconds("r") == pytest.approx(3 * 0.1 + 2 * 0.1)
        assert times.tolerable_wait("r") == pytest.approx((2.0 - 0.5) / 3)
        assert times.turns_per_program("other") == 4

    def test_turns_under_load_change_the_recent_mean_only(self):
        """Guards against a needed time that grows in a burst, and hides it."""
        times = ProgramTimes()
        run_program(times)
        times.begin("q", "r", 2.0, 20.0)
        for _ in range(60):
            times.turn_ended("q", 0.3, False, 20.3)
        assert times.turn_seconds("r") == pytest.approx(0.3, rel=0.1)
        assert times.low_load_turn_seconds("r") == pytest.approx(0.1)
        assert times.needed_seconds("r") == pytest.approx(0.5)

    def test_unknown_deadline_teaches_turns_only(self):
        """Guards against an infinite or negative deadline in the mean."""
        times = ProgramTimes()
        for seconds_left in (None, math.inf, math.nan, -1.0):
            run_program(times, seconds_left=seconds_left)
        assert times.turns_per_program("r") == 3
        assert times.tolerable_wait("r") == pytest.approx(0.4 * 0.5 / 3)

    def test_parallel_turns_and_late_deadlines_are_not_below_zero(self):
        """Guards against negative times of sub-agents, whose turns overlap."""
        times = ProgramTimes()
        times.begin("p", "r", 0.3, 10.0)
        for _ in range(4):
            times.turn_ended("p", 0.2, True, 10.2)
        times.expire(13.0)
        assert times.needed_seconds("r") == pytest.approx(0.8)
        assert times.tolerable_wait("r") == 0

    def test_one_endless_program_is_capped(self):
        """Guards against a loop that makes all other programs look late."""
        times = ProgramTimes()
        for number in range(20):
            run_program(times, n_turns=8, start=10.0 + 10 * number)
        run_program(times, n_turns=500, start=500.0)
        assert times.turns_per_program("r") <= 8 + (3 * 8 - 8) / 20


class TestEnd:
    def test_program_ends_two_seconds_after_its_last_turn(self):
        times = ProgramTimes()
        times.begin("p", "r", 2.0, 10.0)
        times.turn_ended("p", 0.2, True, 11.0)
        times.begin("p", "r", 0.5, 12.0)
        times.expire(13.9)
        assert times.turns_per_program("r") == 4
        times.expire(14.1)
        assert times.turns_per_program("r") == 1
        assert times.needed_seconds("r") == pytest.approx(1.0)

    def test_programs_without_turns_and_unknown_turns_teach_nothing(self):
        """Guards against refused programs that count as programs of no turns."""
        times = ProgramTimes()
        times.begin("p", "r", 2.0, 10.0)
        times.turn_ended("p", -1.0, True, 10.1)
        times.turn_ended("p", math.nan, True, 10.1)
        times.turn_ended("q", 0.1, True, 10.1)
        times.expire(20.0)
        assert times.snapshot() == {}

    def test_memory_is_bounded(self):
        """Guards against growth with programs that never end and routes of callers."""
        times = ProgramTimes()
        for number in range(_program_times.MAX_PROGRAMS + 10):
            times.begin(f"p{number}", f"r{number}", 2.0, 10.0)
            times.turn_ended(f"p{number}", 0.1, True, 10.0)
        assert len(times._programs) == _program_times.MAX_PROGRAMS
        assert len(times.snapshot()) == _program_times.MAX_ROUTES


class TestSnapshot:
    def test_successor_continues_with_what_was_learned(self):
        times, successor = ProgramTimes(), ProgramTimes()
        run_program(times)
        successor.restore(times.snapshot())
        assert successor.snapshot() == times.snapshot()
        assert successor.tolerable_wait("r") == times.tolerable_wait("r")

    @pytest.mark.parametrize(
        "values", [[], None, ["x"] * 10, [math.nan] * 10, [-1.0] * 10, [1.0, 0.0] * 5]
    )
    def test_invalid_routes_are_ignored(self, values):
        """Guards against a message that makes all later estimates useless."""
        times = ProgramTimes()
        run_program(times)
        before = times.snapshot()
        times.restore({"r": values})
        assert times.snapshot() == before
