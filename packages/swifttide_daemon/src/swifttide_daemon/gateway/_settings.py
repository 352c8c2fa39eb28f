"""Settings of a gateway."""

from dataclasses import dataclass, field

from swifttide_core.forwarding import RegionMap


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings that a gateway needs before it reaches the store.

    Parameters
    ----------
    host : str
        Id of the host.
    zone : str
        Availability zone of the host.
    ip : str
        IP address on which the host listens.
    caller_port, ready_port, peer_port, metrics_port : int
        Ports for callers, for the load balancer's readiness probe, for the other hosts,
        and for metrics.
    store_ip : str
    store_port : int
    row_bytes : int
        Maximum size of a row's value in the store.
    store_writes_per_second : float
        Transactions per second that the store accepts from all hosts together.
    cores : float
        Processor time available to the host, in CPU seconds per second.
    turn_copies : int
        Number of other hosts that must have a turn (one model request) in memory before
        its answer may end during a store outage. With 0, no answer ends before its turn
        is stored: an answered turn then survives the loss of all hosts, but no turn is
        answered during the outage.
    stop_seconds : float
        Time from SIGTERM until the process is killed.
    regions : RegionMap
        Maps availability zones to regions.
    rate_extra : float
        Number of requests by which a customer may exceed its rate and burst.
    cold_excess, cold_extra : float
        Limit for a cold target: its capacity in requests per second times
        ``cold_excess``, plus ``cold_extra`` requests.
    memory_bytes : int
        Memory limit of the host, from which the bound on the bytes buffered for slow
        callers and targets is derived. With 0, each connection has a bound of its own.
    """

    host: str
    zone: str
    ip: str
    caller_port: int
    ready_port: int
    peer_port: int
    metrics_port: int
    store_ip: str
    store_port: int
    row_bytes: int = 65_536
    store_writes_per_second: float = 800.0
    cores: float = 1.0
    turn_copies: int = 0
    stop_seconds: float = 8.0
    regions: RegionMap = field(default_factory=RegionMap)
    rate_extra: float = 0.0
    cold_excess: float = 1.0
    cold_extra: float = 0.0
    memory_bytes: int = 0
