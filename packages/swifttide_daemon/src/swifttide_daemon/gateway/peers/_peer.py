"""Another host of the fleet."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Peer:
    """A host as it registered itself.

    Parameters
    ----------
    ip : str
    port : int
        For calls and beacons from other hosts.
    zone : str
    boot : str
        Drawn anew at each start of its process.
    cores : float
        Processor time that it has in a second, in seconds.
    """

    ip: str
    port: int
    zone: str
    boot: str
    cores: float = 1.0
