"""Lease row of a host in the platform's table ``hosts``."""

from dataclasses import dataclass
from enum import StrEnum


class HostState(StrEnum):
    """State of one incarnation of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class HostRow:
    """Lease row of a host; one renewal covers all slots of the host.

    Parameters
    ----------
    host, zone : str
        Id of the host and its availability zone.
    incarnation : str
        Id that changes with each start and each loss of the lease, so that the host
        never acts as the holder of slots that a previous incarnation claimed.
    caller_url, peer_url : str
        Addresses of the host for callers and for other hosts.
    renewal : int
        Number of renewals. A change shows monitoring hosts that the host is alive.
    knows_head : int
        Head version of the zone that the host knew at its last renewal. It asks all
        hosts registered up to this version before it extends its lease without the
        platform.
    state : HostState
        A dead incarnation never becomes live again; other hosts may claim its slots.
    """

    host: str
    zone: str
    incarnation: str
    caller_url: str
    peer_url: str
    renewal: int = 0
    state: HostState = HostState.LIVE
    knows_head: int = 0

    @property
    def key(self) -> str:
        """Key of the row."""
        return f"{self.zone}/{self.host}"
