"""Settings of a gateway."""

from dataclasses import dataclass, field

from swifttide_core.forwarding import RegionMap


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """What a gateway needs to know before it reaches the store.

    Parameters
    ----------
    host : str
        Id of the host.
    zone : str
        Its availability zone.
    ip : str
        IP number that it listens at.
    caller_port, ready_port, peer_port, metrics_port : int
        For callers, for the balancer's question whether it is ready, for the other
        hosts, and for metrics.
    store_ip : str
    store_port : int
    row_bytes : int
        Largest value of a row.
    store_writes_per_second : float
        Transactions that the store takes from all hosts together.
    cores : float
        Processor time that the host has in a second, in seconds.
    turn_copies : int
        Other hosts that must have a turn in memory for its answer to end while the
        store is away. With 0 no answer ends before its turn is stored: a turn that
        was answered survives the loss of all hosts, but none is answered meanwhile.
    stop_seconds : float
        Time from SIGTERM until the process is killed.
    regions : RegionMap
        In which region each availability zone lies.
    rate_extra : float
        Requests by which a customer may exceed its rate and burst.
    cold_excess, cold_extra : float
        A cold target may get this many times what it bears in a second, and so many
        requests more.
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
