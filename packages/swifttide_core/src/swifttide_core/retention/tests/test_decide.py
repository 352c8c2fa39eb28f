"""Retention of cache during tool pauses."""

from dataclasses import replace

from swifttide_core.retention import (
    Drop,
    EnginePressure,
    Export,
    HeldCache,
    Keep,
    PausedProgram,
    PauseEstimator,
    RetentionConfig,
    decide,
    release_order,
)

CFG = RetentionConfig()
FREE = EnginePressure(10_000, 100_000)
CROWDED = EnginePressure(99_000, 100_000, turnover_tokens_per_second=10_000.0)
PROGRAM = PausedProgram(8_000, 5.0, 8.0, 300.0)


class TestDecide:
    def test_free_memory_costs_nothing(self):
        assert decide(0.0, CFG, PROGRAM, FREE) == Keep(24.0)

    def test_silence_ends_with_the_profile(self):
        program = replace(PROGRAM, idle_limit_seconds=10.0)
        assert decide(0.0, CFG, program, FREE) == Keep(10.0)

    def test_long_pause_on_a_crowded_engine_is_exported(self):
        """A program waits a minute for a person while others need the memory. Kept,
        its cache would be evicted before it returns, with others' for company.
        """
        program = replace(PROGRAM, expected_pause_seconds=60.0)
        assert decide(0.0, CFG, program, CROWDED) == Export()

    def test_short_pause_on_a_crowded_engine_is_kept(self):
        assert decide(0.0, CFG, PROGRAM, CROWDED) == Keep(8.0)

    def test_engine_without_import(self):
        cfg = replace(CFG, import_tokens_per_second=0.0)
        program = replace(PROGRAM, expected_pause_seconds=60.0)
        assert decide(0.0, cfg, program, CROWDED) == Drop()


class TestPauseEstimator:
    def test_learns_per_profile(self):
        pauses = PauseEstimator()
        for _ in range(100):
            pauses.observe("chat", 20.0)
            pauses.observe("stock", 1.0)
        assert abs(pauses.expected("chat", 5.0) - 20.0) < 0.1
        assert abs(pauses.expected("stock", 5.0) - 1.0) < 0.1
        assert pauses.expected("unseen", 5.0) == 5.0
        assert pauses.upper("chat", 5.0) >= 20.0


class TestReleaseOrder:
    def test_ended_first_then_the_longest(self):
        silent = HeldCache("p1", "e0", 9_000, ended=False, since=0.0)
        short = HeldCache("p2", "e0", 100, ended=True, since=0.0)
        long = HeldCache("p3", "e0", 5_000, ended=True, since=1.0)
        assert release_order([silent, short, long]) == (long, short, silent)
