"""Address and identity of a host of the fleet."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Peer:
    """Address and identity of a host, as the host itself reports them.

    Parameters
    ----------
    ip : str
    port : int
        Port on which the host accepts calls and beacons from other hosts.
    zone : str
        Availability zone.
    boot : str
        Random identifier of the host's process, new at each process start.
    cores : float
        Processor time available to the host, in CPU seconds per second.
    """

    ip: str
    port: int
    zone: str
    boot: str
    cores: float = 1.0
