"""Retention of cache during tool pauses."""

from dataclasses import replace

from swifttide_core.retention import (
    Drop,
    Export,
    HeldCache,
    Keep,
    PausedProgram,
    PauseEstimator,
    RetentionConfig,
    decide_retention,
    release_order,
)

CFG = RetentionConfig()
PROGRAM = PausedProgram(8_000, 8.0, 300.0)


class TestDecide:
    def test_kept_for_several_pauses(self):
        assert decide_retention(0.0, CFG, PROGRAM) == Keep(80.0)

    def test_silence_ends_with_the_profile(self):
        """A caller dies during a tool pause and never says so. Its history would
        hold the engine's memory until something else pushes it out.
        """
        program = replace(PROGRAM, idle_limit_seconds=10.0)
        assert decide_retention(0.0, CFG, program) == Keep(10.0)

    def test_leaving_engine_exports_what_is_slow_to_compute(self):
        """An engine is taken out of service with a paused program's history. Its
        next call elsewhere would wait for the whole history to be computed.
        """
        program = replace(PROGRAM, target_leaving=True)
        assert decide_retention(0.0, CFG, program) == Export()
        short = replace(program, cached_tokens=100)
        assert decide_retention(0.0, CFG, short) == Drop()

    def test_engine_without_import(self):
        cfg = replace(CFG, import_tokens_per_second=0.0)
        program = replace(PROGRAM, target_leaving=True)
        assert decide_retention(0.0, cfg, program) == Drop()

    def test_nothing_held(self):
        assert decide_retention(0.0, CFG, replace(PROGRAM, cached_tokens=0)) == Drop()


class TestPauseEstimator:
    def test_learns_per_profile(self):
        pauses = PauseEstimator()
        for _ in range(100):
            pauses.observe("chat", 20.0)
            pauses.observe("stock", 1.0)
        assert 20.0 <= pauses.upper_bound_seconds("chat", 5.0) < 21.0
        assert 1.0 <= pauses.upper_bound_seconds("stock", 5.0) < 1.1
        assert pauses.upper_bound_seconds("unseen", 5.0) == 10.0


class TestReleaseOrder:
    def test_ended_first_then_the_longest(self):
        silent = HeldCache("p1", "e0", 9_000, ended=False, inactive_since=0.0)
        short = HeldCache("p2", "e0", 100, ended=True, inactive_since=0.0)
        long = HeldCache("p3", "e0", 5_000, ended=True, inactive_since=1.0)
        assert release_order([silent, short, long]) == (long, short, silent)
