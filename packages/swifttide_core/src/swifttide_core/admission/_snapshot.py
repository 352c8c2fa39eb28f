"""State of a target's queue, for metrics and for the routing at other hosts."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QueueSnapshot:
    """State of a target's queue, published by the host that holds the queue.

    Parameters
    ----------
    measured_at : float
        Time of the snapshot, in monotonic seconds.
    running : int
        Number of grants that were neither released nor expired.
    queued : int
        Number of waiting calls.
    entering : int
        Number of waiting calls that are the first of their program or sub-agent and
        wait until the target has memory for the history.
    limit : int
        Current concurrency limit, in calls.
    drain_per_second : float
        Measured drain rate, in released calls per second.
    service_seconds : float
        Mean time from grant to release.
    entry_wait_seconds : float
        Expected wait of a new program's first call.
    leaving : bool
        Whether the target is being removed and takes no new calls.
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
