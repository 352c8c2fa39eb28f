"""States of a circuit breaker."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Closed:
    """Requests pass and their results are counted.

    Parameters
    ----------
    n_ok, n_failed : float
        Results of late, older ones counting less.
    updated_at : float
        Monotonic seconds up to which they were aged.
    n_consecutive_failures : int
        Failures since the last success.
    """

    n_ok: float
    n_failed: float
    updated_at: float
    n_consecutive_failures: int = 0


@dataclass(frozen=True, slots=True)
class Open:
    """No request passes.

    Parameters
    ----------
    until : float
        Monotonic seconds at which one probe may go.
    n_consecutive_opens : int
        Times in a row that it opened.
    """

    until: float
    n_consecutive_opens: int


@dataclass(frozen=True, slots=True)
class HalfOpen:
    """One probe is on its way.

    Parameters
    ----------
    probe : int
        Number of the probe's pass.
    probe_expires_at : float
        Monotonic seconds at which a probe without a result counts as failed.
    n_consecutive_opens : int
        Times in a row that the breaker opened.
    """

    probe: int
    probe_expires_at: float
    n_consecutive_opens: int
