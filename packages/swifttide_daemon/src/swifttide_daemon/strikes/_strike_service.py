"""Tracks requests that crash their targets and refuses them.

A strike records that a target died while it ran a request. Requests are identified by
a fingerprint. Each fingerprint belongs to a slot, and the host that holds the slot
counts the strikes of its fingerprints. All other hosts query the holder before they run
a request, and report strikes and successful runs to it.
"""

import threading
import time

import msgspec

from swifttide_core.slots import SlotKind
from swifttide_core.strikes import Clear, Refused, Strike, StrikeTracker, Suspect
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.peers import PeerClient


class StrikeService:
    """Checks fingerprints and reports strikes to the hosts that hold them.

    Strikes of the fingerprints that this host holds are tracked locally.

    Parameters
    ----------
    membership : MembershipService
        Determines the host that holds a fingerprint.
    peers : PeerClient
        Sends queries and reports to other hosts.
    """

    def __init__(self, membership: MembershipService, peers: PeerClient) -> None:
        self.membership = membership
        self.peers = peers
        self._tracker = StrikeTracker()
        self._lock = threading.Lock()

    def check_request(self, fingerprint: str) -> Refusal | None:
        """Return the refusal of a request with this fingerprint, or None.

        If there is no holder or it can't be reached, the request is not refused.
        Requests that crash targets are rare, but unreachable holders are not.
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
        """Report to the holder that a target died while it ran the request."""
        self._notify_holder(strike.fingerprint, "strike", strike)

    def report_success(self, fingerprint: str) -> None:
        """Report to the holder that a suspected request ran to completion."""
        self._notify_holder(fingerprint, "ran", {})

    def check_local(self, fingerprint: str) -> Refusal | None:
        """Return the refusal from the strikes tracked on this host, or None."""
        with self._lock:
            match self._tracker.status_of(time.monotonic(), fingerprint):
                case Refused(seconds):
                    return _make_refusal(seconds)
                case Clear() | Suspect():
                    return None

    def record_strike(self, strike: Strike) -> None:
        """Add a strike to those tracked on this host."""
        with self._lock:
            self._tracker.record_strike(time.monotonic(), strike)

    def record_success(self, fingerprint: str) -> None:
        """Record on this host that the request ran to completion."""
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
    """Decode a strike from the JSON message of a peer."""
    return msgspec.convert(message, Strike)


def _make_refusal(seconds: float) -> Refusal:
    return Refusal(
        Reason.CRASHES_TARGETS,
        "targets died while running this request; it is refused for a time",
        retry_after_seconds=seconds,
    )
