"""One service of the operator's configuration."""

from dataclasses import dataclass

from swifttide_core.forwarding._target_entry import TargetEntry


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What is known of all targets of a service.

    Parameters
    ----------
    name : str
    max_connections : int
        Connections that one target accepts from all hosts together.
    tokens_per_event : int
        Tokens that one event of a stream counts for in budgets; 0 for a service
        that generates none.
    concurrency : int
        Requests that one engine runs at once; 0 where each target says so itself.
    cold_requests_per_second : float
        What a cold target bears; 0 where targets are never cold.
    cold_seconds : float
        For how long a target is cold after its start.
    """

    name: str
    max_connections: int = 64
    tokens_per_event: int = 0
    concurrency: int = 0
    cold_requests_per_second: float = 0.0
    cold_seconds: float = 0.0

    def concurrency_at(self, target: TargetEntry) -> int:
        """Return the requests that a target runs at once, at least one."""
        return max(1, self.concurrency or target.capacity)
