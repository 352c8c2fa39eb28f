"""Configuration of target selection."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Weights and time constants of target selection.

    Parameters
    ----------
    n_choices : int
        Number of randomly sampled targets that are compared in addition to those that
        have the prefix cached, per zone group (own zone, other zones).
    prefill_tokens_per_second : float
        Number of uncached prompt tokens that cost as much as one second of waiting. It
        is well below the speed of an engine, since the other requests in its batch
        wait for each prompt, too.
    cross_zone_penalty_seconds : float
        Time by which a target of another zone must be faster to be selected.
    max_report_age_seconds : float
        Age above which reported load is ignored.
    default_retry_seconds : float
        Retry-after time if no target can be selected.
    """

    n_choices: int = 2
    prefill_tokens_per_second: float = 1_000.0
    cross_zone_penalty_seconds: float = 0.05
    max_report_age_seconds: float = 15.0
    default_retry_seconds: float = 2.0


def check_routing_config(cfg: RoutingConfig) -> RoutingConfig:
    """Validate the configuration and return it.

    Raises
    ------
    ValueError
        If a value is out of range. The message states the setting, the valid range and
        the value.
    """
    if cfg.n_choices < 1:
        raise ValueError(f"n_choices must be >= 1, got {cfg.n_choices!r}")
    if not cfg.prefill_tokens_per_second > 0:
        raise ValueError(
            "prefill_tokens_per_second must be > 0, "
            f"got {cfg.prefill_tokens_per_second!r}"
        )
    return cfg
