"""Connection pools and bounded reading of outgoing HTTP, and what its errors mean."""

from swifttide_daemon.transport._bounded_body import (
    MAX_ANSWER_BYTES,
    MIN_BYTES_PER_SECOND,
    MIN_PIECE_BYTES,
    UnboundedAnswer,
    read_body,
)
from swifttide_daemon.transport._failure import verdict_for_error
from swifttide_daemon.transport._pool import make_connection_pool

__all__ = [
    "MAX_ANSWER_BYTES",
    "MIN_BYTES_PER_SECOND",
    "MIN_PIECE_BYTES",
    "UnboundedAnswer",
    "make_connection_pool",
    "read_body",
    "verdict_for_error",
]
