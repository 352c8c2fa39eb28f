"""A target as it registered itself."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class TargetEntry:
    """One running target of a service.

    Parameters
    ----------
    id : str
        Id under which it registered; another process at the same address has
        another one.
    service : str
    ip : str
    port : int
    zone : str
    capacity : int
        Requests that it runs at once.
    draining : bool
        Whether it has announced that it leaves: no new work.
    started_ms : int
        When its process started; tells a restart under the same id.
    cold_seconds : float or None
        For how long it said that it stays cold, from when it wrote the entry; None if
        what it said makes no sense. Falls with each entry, so it doesn't make two
        entries differ.
    """

    id: str
    service: str
    ip: str
    port: int
    zone: str
    capacity: int
    draining: bool = False
    started_ms: int = 0
    cold_seconds: float | None = field(default=0.0, compare=False)
