"""Tests of cache retention during tool pauses."""

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
    def test_cache_is_kept_for_a_multiple_of_the_upper_pause(self):
        assert decide_retention(0.0, CFG, PROGRAM) == Keep(80.0)

    def test_idle_limit_of_the_profile_shortens_the_retention(self):
        """Guards against abandoned caches that occupy memory at the engine.

        A caller that crashes during a tool pause doesn't end its program. Without the
        limit, its cache would stay until the engine evicts it.
        """
        program = replace(PROGRAM, idle_limit_seconds=10.0)
        assert decide_retention(0.0, CFG, program) == Keep(10.0)

    def test_leaving_engine_exports_long_caches_and_drops_short_ones(self):
        """Guards against computing a whole prompt again after a drain.

        When an engine is taken out of service, the next call of a paused program runs
        on another engine. Without an export it would wait for the whole prefill.
        """
        program = replace(PROGRAM, target_leaving=True)
        assert decide_retention(0.0, CFG, program) == Export()
        short = replace(program, cached_tokens=100)
        assert decide_retention(0.0, CFG, short) == Drop()

    def test_cache_is_dropped_if_engines_can_not_import(self):
        cfg = replace(CFG, import_tokens_per_second=0.0)
        program = replace(PROGRAM, target_leaving=True)
        assert decide_retention(0.0, cfg, program) == Drop()

    def test_empty_cache_is_dropped(self):
        assert decide_retention(0.0, CFG, replace(PROGRAM, cached_tokens=0)) == Drop()


class TestPauseEstimator:
    def test_estimates_are_kept_per_profile(self):
        pauses = PauseEstimator()
        for _ in range(100):
            pauses.observe("chat", 20.0)
            pauses.observe("stock", 1.0)
        assert 20.0 <= pauses.upper_bound_seconds("chat", 5.0) < 21.0
        assert 1.0 <= pauses.upper_bound_seconds("stock", 5.0) < 1.1
        assert pauses.upper_bound_seconds("unseen", 5.0) == 10.0


class TestReleaseOrder:
    def test_ended_programs_come_first_then_longest_caches(self):
        silent = HeldCache("p1", "e0", 9_000, ended=False, inactive_since=0.0)
        short = HeldCache("p2", "e0", 100, ended=True, inactive_since=0.0)
        long = HeldCache("p3", "e0", 5_000, ended=True, inactive_since=1.0)
        assert release_order([silent, short, long]) == (long, short, silent)
