"""What one host takes on at most."""

from dataclasses import dataclass

KIB = 1024
MIB = 1024 * KIB


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on input, connections and threads.

    Parameters
    ----------
    max_body_bytes : int
        Largest body of a request. A history of 430,000 tokens is some 2 MB.
    max_header_bytes : int
        Largest request line and headers together.
    max_connections : int
        Connections open at once on one port; more are refused.
    idle_seconds : float
        Silence after which a connection is closed.
    caller_threads : int
        Requests of callers served at once.
    peer_threads : int
        Requests of peers served at once.
    """

    max_body_bytes: int = 8 * MIB
    max_header_bytes: int = 16 * KIB
    max_connections: int = 512
    idle_seconds: float = 30.0
    caller_threads: int = 64
    peer_threads: int = 64
