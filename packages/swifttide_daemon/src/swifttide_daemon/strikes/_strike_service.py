"""Strikes against requests that crash their targets, at the fingerprint's holder."""

import threading
import time

import msgspec

from swifttide_core.slots import SlotKind
from swifttide_core.strikes import Clear, Refused, Strike, StrikeTracker, Suspect
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.peers import PeerClient


class StrikeService:
    """Asks and tells the holders of fingerprints; keeps the book of its own.

    Parameters
    ----------
    membership : MembershipService
    peers : PeerClient
    """

    def __init__(self, membership: MembershipService, peers: PeerClient) -> None:
        self.membership = membership
        self.peers = peers
        self._tracker = StrikeTracker()
        self._lock = threading.Lock()

    def check_request(self, fingerprint: str) -> Refusal | None:
        """Return why a request is put aside, or None.

        A holder that can't be reached refuses nobody: a request that crashes targets
        is rare, an unreachable holder is not.
        """
        holder = self.membership.holder(SlotKind.FINGERPRINT, fingerprint)
        if holder is None:
            return None
        if holder.host == self.membership.me.host:
            return self.check_local(fingerprint)
        answer = self.peers.call(
            holder.peer_url, "GET", f"/peer/v1/fingerprints/{fingerprint}"
        )
        if answer.is_error() or not answer.ok["refused"]:
            return None
        return _make_refusal(answer.ok["refused_seconds"])

    def report(self, strike: Strike) -> None:
        """Tell the holder that a request's target died under it."""
        self._notify_holder(strike.fingerprint, "strike", strike)

    def report_success(self, fingerprint: str) -> None:
        """Tell the holder that a suspected request ran to its end."""
        self._notify_holder(fingerprint, "ran", {})

    def check_local(self, fingerprint: str) -> Refusal | None:
        """Answer from the own book."""
        with self._lock:
            match self._tracker.status_of(time.monotonic(), fingerprint):
                case Refused(seconds):
                    return _make_refusal(seconds)
                case Clear() | Suspect():
                    return None

    def record_strike(self, strike: Strike) -> None:
        """Write a strike into the own book."""
        with self._lock:
            self._tracker.record_strike(time.monotonic(), strike)

    def record_success(self, fingerprint: str) -> None:
        """Clear a request in the own book."""
        with self._lock:
            self._tracker.record_success(time.monotonic(), fingerprint)

    def _notify_holder(self, fingerprint: str, verb: str, message: object) -> None:
        holder = self.membership.holder(SlotKind.FINGERPRINT, fingerprint)
        if holder is None:
            return
        if holder.host != self.membership.me.host:
            path = f"/peer/v1/fingerprints/{fingerprint}/{verb}"
            self.peers.call(holder.peer_url, "POST", path, message)
            return
        if isinstance(message, Strike):
            self.record_strike(message)
        else:
            self.record_success(fingerprint)


def decode_strike(message: object) -> Strike:
    """Decode a peer's message."""
    return msgspec.convert(message, Strike)


def _make_refusal(seconds: float) -> Refusal:
    return Refusal(
        Reason.CRASHES_TARGETS,
        "targets died under this request; it is put aside",
        retry_after_seconds=seconds,
    )
