"""State of a target's queue for metrics and for routing elsewhere."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueueSnapshot:
    """What the holder of a target tells the other hosts.

    Parameters
    ----------
    measured_at : float
        Time of the snapshot.
    running : int
        Grants that were neither released nor expired.
    queued : int
        Calls that wait.
    entering : int
        First calls among them that wait for room.
    limit : int
        Present concurrency limit.
    drain_per_second : float
        Measured drain rate.
    service_seconds : float
        Mean time from grant to release.
    entry_wait_seconds : float
        Expected wait of a new program's first call.
    leaving : bool
        Whether the target takes no new work.
    """

    measured_at: float
    running: int
    queued: int
    entering: int
    limit: int
    drain_per_second: float
    service_seconds: float
    entry_wait_seconds: float
    leaving: bool
