"""Durations that limit the extension of leases while the platform is unavailable."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExtensionTimes:
    """Durations of promises and extensions.

    Parameters
    ----------
    promise_seconds : float
        Time for which a host that promises deposes no host and claims no slot. It is
        at most the duration of a lease, because a host that restarts forgets its
        promise, and monitors a lease row for one lease before it deposes the host.
    max_extension_seconds : float
        Longest time after its last confirmed renewal to which promises extend a lease.
        A host also waits for this time before it deposes a host that never knew it.
    """

    promise_seconds: float = 6.0
    max_extension_seconds: float = 3600.0
