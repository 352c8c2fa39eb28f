"""The peer port: heartbeats and request handlers for calls from other hosts."""

from swifttide_daemon.peering._handlers import PeerHandlers
from swifttide_daemon.peering._heartbeat import Heartbeat

__all__ = ["Heartbeat", "PeerHandlers"]
