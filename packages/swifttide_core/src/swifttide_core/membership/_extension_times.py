"""The times that an extension of leases without the platform runs by."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExtensionTimes:
    """Durations of promises.

    Parameters
    ----------
    promise_seconds : float
        How long a host that promises deposes and claims nothing. At most the lease: a
        host that restarts forgets its promise, and watches a whole lease before it
        deposes.
    limit_seconds : float
        Longest that promises carry a lease past its last confirmed renewal, and
        how long a host waits before it deposes one that never knew of it.
    """

    promise_seconds: float = 6.0
    max_extension_seconds: float = 3600.0
