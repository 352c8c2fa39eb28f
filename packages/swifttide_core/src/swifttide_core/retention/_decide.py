"""Decides whether to keep, export or drop the cache of a paused program.

A program pauses between two calls while its caller runs a tool. Its prompt cache
meanwhile takes memory at the engine. The decision depends on the length of the cache,
the expected pause, the idle limit of the program's profile and whether the engine is
being taken out of service.

Pauses last seconds or minutes. Some programs never resume, because the caller crashed
or the tool hangs. Engines are also taken out of service while they hold the caches of
paused programs. Without this module, the caches of abandoned programs would occupy
memory until the engine evicts them, and every program of a leaving engine would have
to compute its whole prompt again on another engine.

A cache is kept until the pause has lasted a multiple of the program's usual upper
pause, or the idle limit of its profile, whichever is shorter. It is then dropped. If
the engine is leaving, the cache is exported when it is long enough and importing it is
faster than computing it again. Otherwise it is dropped.

Caches are not dropped or exported during short pauses to make room for others. In a
benchmark this did worse, because the caches evicted first were needed first. The
design is described in docs/design/retention.md.
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
    """Decide what to do with the cache of one paused program.

    Parameters
    ----------
    now : float
        Time at which the pause began, in seconds of a monotonic clock. ``Keep.until``
        is counted from it.
    cfg : RetentionConfig
        Engine speeds and retention limits.
    program : PausedProgram
        Length of its cache, its pause limits and whether its engine is leaving.

    Returns
    -------
    Keep or Export or Drop
        ``Keep.until`` is the time at which the cache is dropped if the program has
        not resumed by then.
    """
    if program.cached_tokens <= 0:
        return Drop()
    if program.target_leaving:
        return Export() if _export_is_worthwhile(cfg, program) else Drop()
    keep_seconds = min(
        cfg.keep_pause_multiple * program.upper_pause_seconds,
        program.idle_limit_seconds,
    )
    return Keep(now + keep_seconds)


def _export_is_worthwhile(cfg: RetentionConfig, program: PausedProgram) -> bool:
    if cfg.import_tokens_per_second <= cfg.prefill_tokens_per_second:
        return False
    return program.cached_tokens >= cfg.min_export_tokens
