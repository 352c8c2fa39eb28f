"""Durations of a host's lease."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Durations of a host's lease.

    Parameters
    ----------
    lease_seconds : float
        Time for which a confirmed renewal is valid, counted from sending it.
    renew_seconds : float
        Interval between renewals.
    drift_margin_seconds : float
        Largest drift between two monotonic clocks during one lease, plus the time
        between a check of the lease and the action that relies on it. The holder stops
        earlier by this margin, and a host that deposes it waits longer by it.
    """

    lease_seconds: float = 6.0
    renew_seconds: float = 2.0
    drift_margin_seconds: float = 1.0

    @property
    def spare_seconds(self) -> float:
        """Time for which a lease is still valid when its renewal is due."""
        return self.lease_seconds - self.drift_margin_seconds - self.renew_seconds
