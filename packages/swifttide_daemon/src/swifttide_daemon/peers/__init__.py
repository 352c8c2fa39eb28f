"""HTTP client for calls between hosts, and the authentication of such calls."""

from swifttide_daemon.peers._client import PeerClient
from swifttide_daemon.peers._proof import PeerProof

__all__ = ["PeerClient", "PeerProof"]
