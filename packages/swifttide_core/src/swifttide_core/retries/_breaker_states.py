"""States of a circuit breaker."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Closed:
    """Requests are permitted and their results are counted.

    Parameters
    ----------
    n_ok, n_failed : float
        Exponentially decayed numbers of successes and failures.
    updated_at : float
        Time up to which the decay is applied, in monotonic seconds.
    n_consecutive_failures : int
        Failures since the last success.
    """

    n_ok: float
    n_failed: float
    updated_at: float
    n_consecutive_failures: int = 0


@dataclass(frozen=True, slots=True)
class Open:
    """No requests are permitted.

    Parameters
    ----------
    until : float
        Time from which one probe may be sent, in monotonic seconds.
    n_consecutive_opens : int
        Number of times the breaker opened without closing in between.
    """

    until: float
    n_consecutive_opens: int


@dataclass(frozen=True, slots=True)
class HalfOpen:
    """One probe is in progress.

    Parameters
    ----------
    probe : int
        Number of the probe's permit.
    probe_expires_at : float
        Time at which a probe without a result counts as failed, in monotonic seconds.
    n_consecutive_opens : int
        Number of times the breaker opened without closing in between.
    """

    probe: int
    probe_expires_at: float
    n_consecutive_opens: int
