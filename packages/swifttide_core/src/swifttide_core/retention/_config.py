"""Settings of cache retention."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RetentionConfig:
    """Speeds and bounds by which a paused program's cache is kept.

    Parameters
    ----------
    prefill_tokens_per_second : float
        Speed at which an engine computes a prompt again.
    import_tokens_per_second : float
        Speed at which an engine imports an exported cache; 0 when it can't.
    keep_pause_multiple : float
        Upper pauses that a cache is kept for before the program counts as silent.
    min_export_tokens : int
        Length below which export costs more than computing again.
    """

    prefill_tokens_per_second: float = 5_000.0
    import_tokens_per_second: float = 40_000.0
    keep_pause_multiple: float = 10.0
    min_export_tokens: int = 1_000


def check_retention_config(cfg: RetentionConfig) -> RetentionConfig:
    """Return the settings when they are usable.

    Raises
    ------
    ValueError
        States the setting, the expected range and the value found.
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
