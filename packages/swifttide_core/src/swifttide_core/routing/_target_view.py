"""What a host knows of a target, some of it late."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetView:
    """A target as a host sees it.

    Parameters
    ----------
    name : str
        Id of the target.
    zone : str
        Its availability zone.
    serves : tuple of str
        Models and adapters that are loaded, or names of plain services.
    alive : bool
        False while it is taken for dead.
    leaving : bool
        Whether it must get no new work.
    measured_at : float
        Time of the reported load below.
    running, queued : int
        Grants and waiting calls at its queue, as reported.
    limit : int
        Concurrency limit, as reported.
    service_seconds : float
        Mean time from grant to release, as reported.
    drain_per_second : float
        Drain rate, as reported; 0 when unknown.
    entry_wait_seconds : float
        Expected wait of a new program, as reported.
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
        """Whether it may get new work at all."""
        return self.alive and not self.leaving
