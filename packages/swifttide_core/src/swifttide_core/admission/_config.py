"""Settings of a target's queue."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AdmissionConfig:
    """Limits and time constants of a target's queue.

    Parameters
    ----------
    min_limit : int
        Lower bound of the adaptive concurrency limit, in calls. With a limit of 0 a
        target would get no call any more by which it could be measured.
    decrease_factor : float
        Factor by which the limit is multiplied on congestion.
    cooldown_seconds : float
        Minimum time between two decreases; not below the delay of load reports.
    max_wait_seconds : float
        Longest expected wait with which a call is queued; calls that would wait
        longer are refused.
    urgency_seconds : float
        Waiting time that one step of urgency counts as in the order of calls.
    lease_seconds : float
        Time after which a grant that was neither released nor renewed expires.
    drain_window_seconds : float
        Time constant of the measured drain rate.
    initial_service_seconds : float
        Service time of a call that is assumed until one was released.
    working_set_fill : float
        Fraction of a target's memory that the expected histories of its programs may
        fill; beyond it new programs wait.
    spare_fraction : float
        Fraction of the concurrency limit below which a target counts as idle enough
        to compute histories again; new programs then enter however full its memory is.
    idle_program_seconds : float
        Time without a call after which a program counts as gone from a target.
    initial_stay_seconds : float
        Time from a program's first call to its end that is assumed until one was
        measured.
    min_retry_seconds, max_retry_seconds : float
        Bounds of the retry time that refused callers get.
    """

    min_limit: int = 1
    decrease_factor: float = 0.85
    cooldown_seconds: float = 3.0
    max_wait_seconds: float = 30.0
    urgency_seconds: float = 30.0
    lease_seconds: float = 150.0
    drain_window_seconds: float = 15.0
    initial_service_seconds: float = 2.0
    working_set_fill: float = 1.0
    spare_fraction: float = 0.3
    idle_program_seconds: float = 120.0
    initial_stay_seconds: float = 60.0
    min_retry_seconds: float = 0.5
    max_retry_seconds: float = 60.0

    @classmethod
    def for_service(cls) -> "AdmissionConfig":
        """Return the settings for a service without a model; its calls are shorter."""
        return cls(
            initial_service_seconds=0.5,
        )


def check_admission_config(cfg: AdmissionConfig) -> AdmissionConfig:
    """Return the settings if they are valid.

    Raises
    ------
    ValueError
        If a setting is out of range; the message names the setting, the expected
        range and the value found.
    """
    if cfg.min_limit < 1:
        raise ValueError(f"min_limit must be >= 1, got {cfg.min_limit!r}")
    if not 0 < cfg.decrease_factor < 1:
        raise ValueError(
            f"decrease_factor must be in (0, 1), got {cfg.decrease_factor!r}"
        )
    for name in ("lease_seconds", "drain_window_seconds"):
        value = getattr(cfg, name)
        if not value > 0:
            raise ValueError(f"{name} must be > 0, got {value!r}")
    return cfg
