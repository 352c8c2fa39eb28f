"""Connection pools for outgoing HTTP and classification of their errors."""

from swifttide_daemon.transport._failure import verdict_for_error
from swifttide_daemon.transport._pool import make_connection_pool

__all__ = ["make_connection_pool", "verdict_for_error"]
