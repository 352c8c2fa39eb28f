"""The peer port: heartbeats, exchanged views and handlers of peer requests."""

from swifttide_daemon.peering._handlers import PeerHandlers
from swifttide_daemon.peering._heartbeat import Heartbeat
from swifttide_daemon.peering._view_exchange import ViewExchange

__all__ = ["Heartbeat", "PeerHandlers", "ViewExchange"]
