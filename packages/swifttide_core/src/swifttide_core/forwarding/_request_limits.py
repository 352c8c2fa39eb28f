"""What a caller may send, and how long it may take."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds of a caller's request and connection.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Larger ones are refused.
    header_seconds : float
        Longest time from a request's first byte to the end of its headers.
    idle_seconds : float
        Longest time that a connection stays open without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
