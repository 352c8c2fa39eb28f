"""Connection pools and bounded reading of outgoing HTTP, and what its errors mean."""

from swifttide_daemon.transport._bounded_body import (
    MIN_PIECE_BYTES,
    UnboundedAnswer,
    read_body,
)
from swifttide_daemon.transport._failure import verdict_for_error
from swifttide_daemon.transport._pool import make_connection_pool

__all__ = [
    "MIN_PIECE_BYTES",
    "UnboundedAnswer",
    "make_connection_pool",
    "read_body",
    "verdict_for_error",
]
