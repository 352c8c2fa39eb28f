"""State of a target as known to a host, in part from delayed reports."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetView:
    """State of a target as known to a host.

    Parameters
    ----------
    name : str
        Id of the target.
    zone : str
        Availability zone of the target.
    serves : tuple of str
        Loaded models and adapters, or names of plain services.
    alive : bool
        False while the target is considered failed.
    leaving : bool
        Whether the target is shutting down and must get no new calls.
    measured_at : float
        Time of the report, in monotonic seconds, for the load values below.
    running, queued : int
        Reported numbers of admitted and waiting calls in its queue.
    limit : int
        Reported concurrency limit.
    service_seconds : float
        Reported mean time from admission to release of a call.
    drain_per_second : float
        Reported rate of completed calls; 0 if unknown.
    entry_wait_seconds : float
        Reported expected wait of a new program.
    """

    name: str
    zone: str
    serves: tuple[str, ...]
    alive: bool = True
    leaving: bool = False
    measured_at: float = 0.0
    running: int = 0
    queued: int = 0
    limit: int = 8
    service_seconds: float = 2.0
    drain_per_second: float = 0.0
    entry_wait_seconds: float = 0.0

    @property
    def eligible(self) -> bool:
        """Whether the target may get new calls."""
        return self.alive and not self.leaving
