"""The times that a lease runs by."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of a host's lease.

    Parameters
    ----------
    lease_seconds : float
        How long a confirmed renewal is good for.
    renew_seconds : float
        Pause between renewals.
    drift_margin_seconds : float
        What two monotonic clocks may drift apart within one lease, plus the time
        between a check of the lease and the act that relies on it. The holder stops
        this much early, a taker waits this much longer.
    """

    lease_seconds: float = 6.0
    renew_seconds: float = 2.0
    drift_margin_seconds: float = 1.0
