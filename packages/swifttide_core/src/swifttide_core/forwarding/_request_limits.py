"""Size and time limits of callers' requests and connections."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits of a caller's request and connection.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum size in bytes. Larger requests are refused.
    header_seconds : float
        Maximum time from the first byte of a request to the end of its headers.
    idle_seconds : float
        Maximum time that a connection stays open without a request.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
