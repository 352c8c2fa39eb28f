"""The row of a host in the platform's table ``hosts``."""

from dataclasses import dataclass
from enum import StrEnum


class HostState(StrEnum):
    """Life of a host's incarnation."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class HostRow:
    """One lease a host, renewed for all its slots at once.

    Parameters
    ----------
    host, zone : str
        Id of the host and its availability zone.
    incarnation : str
        Changes with each start and each loss of the lease, so that slots of an
        earlier life are never taken for one's own.
    caller_url, peer_url : str
        Where callers and peers reach it.
    renewal : int
        Counts renewals; a change shows watchers that the host lives.
    knows_head : int
        Head version of the zone that the host knew when it last renewed: it asks all
        hosts up to there before it prolongs its lease without the platform.
    state : HostState
        A dead incarnation never comes back; its slots are free to claim.
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
