"""Keep, export or drop the cache of a program that waits for a tool.

Load pattern: programs pause for tools between calls, for seconds or minutes, while
their prefix holds engine memory that running programs need. Without this module an
engine evicts by its own order, oldest use first: the cache of a long history that
would have been back in two seconds goes, and that of a program which is gone stays.

While memory is free, keeping costs nothing. When it is crowded, a cache that would be
evicted before the program returns is worth nothing at the engine: it is exported when
an import is cheaper than computing again, and dropped otherwise, so that the memory
goes to caches that will be used.

Grounds: docs/measurements.md, docs/design/retention.md.
"""

from swifttide_core.retention._config import RetentionConfig
from swifttide_core.retention._decision import (
    Drop,
    Export,
    Keep,
    RetentionDecision,
)
from swifttide_core.retention._paused_program import EnginePressure, PausedProgram


def decide(
    now: float, cfg: RetentionConfig, program: PausedProgram, engine: EnginePressure
) -> RetentionDecision:
    """Decide on the cache of one paused program.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    cfg : RetentionConfig
        Speeds and bounds.
    program : PausedProgram
        Its prefix and expected pause.
    engine : EnginePressure
        Memory at the engine that holds it.

    Returns
    -------
    Keep or Export or Drop
        ``Keep`` names the time of the next decision.
    """
    if program.cached_tokens <= 0:
        return Drop()
    patience = min(
        cfg.keep_margin * program.upper_pause_seconds, program.idle_limit_seconds
    )
    if engine.fraction < cfg.crowded_fraction:
        return Keep(now + patience)
    if _survives(program, engine):
        return Keep(now + min(patience, program.upper_pause_seconds))
    return _give_up(cfg, program)


def _survives(program: PausedProgram, engine: EnginePressure) -> bool:
    if engine.turnover_tokens_per_second <= 0:
        return True
    lifetime = engine.capacity_tokens / engine.turnover_tokens_per_second
    return program.expected_pause_seconds < lifetime


def _give_up(cfg: RetentionConfig, program: PausedProgram) -> Export | Drop:
    if cfg.import_tokens_per_second <= cfg.prefill_tokens_per_second:
        return Drop()
    if program.cached_tokens < cfg.min_export_tokens:
        return Drop()
    return Export()
