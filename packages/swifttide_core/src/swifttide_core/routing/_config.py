"""Settings of routing."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Weights and time constants of the choice of a target.

    Parameters
    ----------
    n_choices : int
        Targets drawn at random and compared, beside those that hold the prefix.
    prefill_tokens_per_second : float
        Prompt tokens that weigh as much as a second of waiting. Well below an
        engine's speed, since the others of its batch wait for each prompt too.
    cross_zone_penalty_seconds : float
        What a target of another zone must be faster by.
    max_report_age_seconds : float
        Age from which reported load is not believed any more.
    default_retry_seconds : float
        When to come back if no target can be chosen.
    """

    n_choices: int = 2
    prefill_tokens_per_second: float = 1_000.0
    cross_zone_penalty_seconds: float = 0.05
    max_report_age_seconds: float = 15.0
    default_retry_seconds: float = 2.0


def check_routing_config(cfg: RoutingConfig) -> RoutingConfig:
    """Return the settings when they are usable.

    Raises
    ------
    ValueError
        States the setting, the expected range and the value found.
    """
    if cfg.n_choices < 1:
        raise ValueError(f"n_choices must be >= 1, got {cfg.n_choices!r}")
    if not cfg.prefill_tokens_per_second > 0:
        raise ValueError(
            "prefill_tokens_per_second must be > 0, "
            f"got {cfg.prefill_tokens_per_second!r}"
        )
    return cfg
