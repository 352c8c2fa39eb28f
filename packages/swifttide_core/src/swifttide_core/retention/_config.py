"""Parameters of cache retention."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetentionConfig:
    """Engine speeds and limits that decide how long a paused program's cache is kept.

    Parameters
    ----------
    prefill_tokens_per_second : float
        Speed at which an engine computes the cache of a prompt.
    import_tokens_per_second : float
        Speed at which an engine imports an exported cache; 0 if it can't import.
    keep_pause_multiple : float
        Time that a cache is kept, as a multiple of ``upper_pause_seconds`` of the
        program; at least 1. After this time the program counts as abandoned.
    min_export_tokens : int
        Shortest cache that is exported. For shorter ones an export costs more than
        computing the prompt again.
    """

    prefill_tokens_per_second: float = 5_000.0
    import_tokens_per_second: float = 40_000.0
    keep_pause_multiple: float = 10.0
    min_export_tokens: int = 1_000


def check_retention_config(cfg: RetentionConfig) -> RetentionConfig:
    """Return the parameters if they are valid.

    Raises
    ------
    ValueError
        If a parameter is out of range. The message states its name, the valid range
        and the value.
    """
    if not cfg.prefill_tokens_per_second > 0:
        raise ValueError(
            "prefill_tokens_per_second must be > 0, "
            f"got {cfg.prefill_tokens_per_second!r}"
        )
    if not cfg.keep_pause_multiple >= 1:
        raise ValueError(
            f"keep_pause_multiple must be >= 1, got {cfg.keep_pause_multiple!r}"
        )
    return cfg
