"""Faults of the platform."""

from dataclasses import dataclass
from enum import StrEnum


class PlatformFaultMode(StrEnum):
    """How the platform misbehaves."""

    NONE = "none"
    DOWN = "down"
    SLOW = "slow"
    LOST_ANSWER = "lost_answer"
    STALE_READS = "stale_reads"


@dataclass(frozen=True, slots=True)
class PlatformFault:
    """A fault and whom it meets.

    Parameters
    ----------
    mode : PlatformFaultMode
        What happens; ``none`` ends the fault of the same peer and zone, and all
        faults when neither is given.
    seconds : float
        Delay of ``slow``.
    peer, zone : str
        Values of ``X-Host`` and ``X-Zone`` that it meets; empty for any.
    """

    mode: PlatformFaultMode = PlatformFaultMode.NONE
    seconds: float = 0.0
    peer: str = ""
    zone: str = ""

    def meets(self, peer: str, zone: str) -> bool:
        """Return whether a call from this host and zone runs into it."""
        return self.peer in ("", peer) and self.zone in ("", zone)
