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
    crowded_fraction : float
        Part of the engine's cache in use above which memory has a price.
    keep_margin : float
        Expected pauses that a cache is kept for before the program counts as silent.
    min_export_tokens : int
        Length below which export costs more than computing again.
    """

    prefill_tokens_per_second: float = 5_000.0
    import_tokens_per_second: float = 40_000.0
    crowded_fraction: float = 0.85
    keep_margin: float = 3.0
    min_export_tokens: int = 2_000


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
    if not 0 < cfg.crowded_fraction <= 1:
        raise ValueError(
            f"crowded_fraction must be in (0, 1], got {cfg.crowded_fraction!r}"
        )
    if not cfg.keep_margin >= 1:
        raise ValueError(f"keep_margin must be >= 1, got {cfg.keep_margin!r}")
    return cfg
