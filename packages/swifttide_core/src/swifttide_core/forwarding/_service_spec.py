"""Service of the operator's configuration: capacity and warm-up of its targets."""

from dataclasses import dataclass

from swifttide_core.forwarding._target_entry import TargetEntry


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Settings that apply to all targets of a service.

    Parameters
    ----------
    name : str
    max_connections : int
        Maximum connections that one target accepts from all hosts together.
    tokens_per_event : int
        Tokens that one stream event is counted as in token budgets; 0 for a service
        that generates no tokens.
    concurrency : int
        Requests that one target executes concurrently; 0 if each target registers its
        own capacity.
    memory_tokens : int
        Tokens that the memory of one target holds; 0 if unknown.
    cold_requests_per_second : float
        Request rate that a target sustains while it warms up; 0 if targets need no
        warm-up.
    cold_seconds : float
        Warm-up time of a target after its start.
    """

    name: str
    max_connections: int = 64
    tokens_per_event: int = 0
    concurrency: int = 0
    cold_requests_per_second: float = 0.0
    cold_seconds: float = 0.0
    memory_tokens: int = 0

    def concurrency_at(self, target: TargetEntry) -> int:
        """Return the number of concurrent requests of a target, at least 1."""
        return max(1, self.concurrency or target.capacity)
