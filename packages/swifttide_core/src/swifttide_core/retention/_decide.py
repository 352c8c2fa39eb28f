"""Keep, export or drop the cache of a program that waits for a tool.

Load pattern: programs pause for tools between calls, for seconds or minutes, and some
never come back: the caller died, the tool hangs. Engines are taken out of service
while paused programs have their histories there. Without this module the memory of
programs that are gone stays tied up until the engine needs it, and each program of a
leaving engine computes its whole history again elsewhere.

A cache is kept until the program has been silent for several times the pause that its
profile seldom exceeds, then dropped. When its engine is leaving, it is exported if an
import is faster than computing, and dropped otherwise.

Grounds: docs/design/retention.md. Dropping or exporting caches during short pauses to
make room for others was tried in the bench and lost: what left first was needed first.
"""

from swifttide_core.retention._config import RetentionConfig
from swifttide_core.retention._decision import (
    Drop,
    Export,
    Keep,
    RetentionDecision,
)
from swifttide_core.retention._paused_program import PausedProgram


def decide_retention(
    now: float, cfg: RetentionConfig, program: PausedProgram
) -> RetentionDecision:
    """Decide on the cache of one paused program.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    cfg : RetentionConfig
        Speeds and bounds.
    program : PausedProgram
        Its prefix, expected pause and engine.

    Returns
    -------
    Keep or Export or Drop
        ``Keep`` names the time at which a program that is still silent is dropped.
    """
    if program.cached_tokens <= 0:
        return Drop()
    if program.target_leaving:
        return Export() if _export_is_worthwhile(cfg, program) else Drop()
    patience = min(
        cfg.keep_pause_multiple * program.upper_pause_seconds,
        program.idle_limit_seconds,
    )
    return Keep(now + patience)


def _export_is_worthwhile(cfg: RetentionConfig, program: PausedProgram) -> bool:
    if cfg.import_tokens_per_second <= cfg.prefill_tokens_per_second:
        return False
    return program.cached_tokens >= cfg.min_export_tokens
