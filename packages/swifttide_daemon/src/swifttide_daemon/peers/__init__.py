"""Calls between hosts, and the proof that they belong together."""

from swifttide_daemon.peers._client import PeerClient
from swifttide_daemon.peers._proof import PeerProof

__all__ = ["PeerClient", "PeerProof"]
