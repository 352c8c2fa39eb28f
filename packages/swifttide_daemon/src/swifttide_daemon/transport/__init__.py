"""Outgoing HTTP: connections and what their failures mean."""

from swifttide_daemon.transport._failure import verdict_of
from swifttide_daemon.transport._pool import make_pool

__all__ = ["make_pool", "verdict_of"]
