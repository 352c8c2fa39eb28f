"""How long a host waits for others."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TimeoutSettings:
    """Timeouts of outgoing calls.

    Parameters
    ----------
    connect_seconds : float
        For a new connection to a target, peer or the platform.
    platform_seconds : float
        For one answer of the platform.
    token_gap_seconds : float
        Longest silence of a target within a stream before a new connection is
        tried.
    peer_seconds : float
        For a short answer of a peer, such as a heartbeat.
    """

    connect_seconds: float = 1.0
    platform_seconds: float = 1.5
    token_gap_seconds: float = 5.0
    peer_seconds: float = 2.0
