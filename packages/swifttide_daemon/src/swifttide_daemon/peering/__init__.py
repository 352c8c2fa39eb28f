"""The peers' port: heartbeats and what other hosts can ask."""

from swifttide_daemon.peering._handlers import PeerHandlers
from swifttide_daemon.peering._heartbeat import Heartbeat

__all__ = ["Heartbeat", "PeerHandlers"]
