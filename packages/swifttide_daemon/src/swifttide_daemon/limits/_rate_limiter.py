"""Admits or refuses requests by the rate and burst of their customer, at an entry host.

Each request takes one token. Tokens are drawn in batches from the holder of the
customer's slot, in this zone or another one, and unused batches are returned. While no
holder can count the rate, for example during a takeover of the slot, the request is
retried for up to `MAX_TAKEOVER_SECONDS`; a refusal then would hit requests within the
rate.
"""

import logging
import threading
import time

import msgspec

from swifttide_core.documents import Customer
from swifttide_core.limits import (
    Batch,
    DrawFailed,
    DrawOrder,
    EntryRateLimiter,
    RateAdmitted,
    RateRefused,
    ReturnOrder,
)
from swifttide_core.slots import SlotKind
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon._elapsed_clock import elapsed_seconds
from swifttide_daemon.limits._messages import DrawAnswer, DrawRequest, ReturnRequest
from swifttide_daemon.limits._share_service import ShareService
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.peers import PeerClient

log = logging.getLogger(__name__)

RETURN_INTERVAL_SECONDS = 0.1
MAX_TAKEOVER_SECONDS = 2.0
TAKEOVER_RETRY_SECONDS = 0.25


class RateLimiter:
    """Takes a token for each request and draws batches from the holders.

    Parameters
    ----------
    membership : MembershipService
    peers : PeerClient
    shares : ShareService
        Buckets of the customers whose slots this host holds.
    """

    def __init__(
        self, membership: MembershipService, peers: PeerClient, shares: ShareService
    ) -> None:
        self.membership = membership
        self.peers = peers
        self.shares = shares
        self._entry_limiter: EntryRateLimiter | None = None
        self._incarnation = ""
        self._zones: tuple[str, ...] = ()
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._return_unused, daemon=True)

    def start(self) -> None:
        """Start the thread that returns unused tokens."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread that returns unused tokens."""
        self._stop.set()

    def admit(self, customer: Customer) -> Refusal | None:
        """Take a token; return the refusal of the request, or None if it is admitted.

        While the customer's slot moves to another host, no host counts its rate. A
        refusal then could hit a request within the rate. A planned move takes less than
        `MAX_TAKEOVER_SECONDS`, so the request is retried for so long.
        """
        ends_at = elapsed_seconds() + MAX_TAKEOVER_SECONDS
        while True:
            refusal = self._admit_once(customer)
            uncounted = refusal is not None and refusal.reason is Reason.NOT_HOLDER
            if not uncounted or elapsed_seconds() >= ends_at:
                return refusal
            time.sleep(TAKEOVER_RETRY_SECONDS)

    def _admit_once(self, customer: Customer) -> Refusal | None:
        with self._lock:
            entry_limiter = self._current_limiter()
            answer = entry_limiter.admit(elapsed_seconds(), customer)
        while isinstance(answer, DrawOrder):
            drawn = self._draw(answer)
            with self._lock:
                settled = entry_limiter.settle(elapsed_seconds(), answer.draw_id, drawn)
            answer = (
                settled if settled is not None else RateRefused(RETURN_INTERVAL_SECONDS)
            )
        if isinstance(answer, RateAdmitted):
            return None
        return _refusal(answer)

    def _current_limiter(self) -> EntryRateLimiter:
        """Return the entry limiter; a new one if the incarnation of this host changed.

        A host that lost its lease gets a new incarnation.
        """
        me = self.membership.me
        zones = (me.zone, *(z for z in self.membership.zones() if z != me.zone))
        if self._entry_limiter is None or self._incarnation != me.incarnation:
            self._incarnation = me.incarnation
            self._entry_limiter = EntryRateLimiter(self._entry_host_id(), zones)
        self._entry_limiter.zones = zones
        return self._entry_limiter

    def _entry_host_id(self) -> str:
        me = self.membership.me
        return f"{me.host}-{me.incarnation}"

    def _draw(self, order: DrawOrder) -> Batch | RateRefused | DrawFailed:
        req = DrawRequest(
            entry_host=self._entry_host_id(),
            entry_zone=self.membership.me.zone,
            draw_id=order.draw_id,
            wanted=order.wanted,
            partial=order.partial,
            spend_seconds=order.spend_seconds,
            returned=order.returned,
        )
        holder = self.membership.holder(SlotKind.CUSTOMER, order.customer, order.zone)
        if holder is None:
            _log_failed_draw(order, "", Reason.NOT_HOLDER)
            return DrawFailed()
        if holder.host == self.membership.me.host:
            answer = self.shares.draw(order.customer, req)
        else:
            path = f"/peer/v1/customers/{order.customer}/draw"
            sent = self.peers.call(holder.peer_url, "POST", path, req)
            answer = sent.map(lambda found: msgspec.convert(found, DrawAnswer))
        if answer.is_error():
            _log_failed_draw(order, holder.host, answer.error.reason)
            if answer.error.reason is Reason.NOT_HOLDER:
                self.membership.invalidate_views()
            return DrawFailed()
        return answer.ok.batch or answer.ok.refused or DrawFailed()

    def _return_unused(self) -> None:
        while not self._stop.wait(RETURN_INTERVAL_SECONDS):
            with self._lock:
                entry_limiter = self._entry_limiter
                orders = (
                    entry_limiter.due_returns(elapsed_seconds())
                    if entry_limiter
                    else ()
                )
            for order in orders:
                self._return_batch(order)

    def _return_batch(self, order: ReturnOrder) -> None:
        holder = self.membership.holder(SlotKind.CUSTOMER, order.customer, order.zone)
        if holder is None:
            return
        req = ReturnRequest(self._entry_host_id(), order.batch)
        if holder.host == self.membership.me.host:
            self.shares.return_batch(order.customer, req)
            return
        path = f"/peer/v1/customers/{order.customer}/return"
        self.peers.call(holder.peer_url, "POST", path, req)


def _log_failed_draw(order: DrawOrder, peer: str, reason: Reason) -> None:
    log.info(
        "rate tokens not drawn",
        extra={
            "customer": order.customer,
            "from_zone": order.zone,
            "peer": peer,
            "reason": reason.value,
        },
    )


def _refusal(refused: RateRefused) -> Refusal:
    """Return the refusal for an exceeded rate, or for a rate that is not counted now.

    The holder of a zone without a share of the customer refuses every draw, with rate
    0; this does not mean that the customer exceeded its rate.
    """
    if refused.rate > 0.0:
        return Refusal(
            Reason.RATE_LIMITED,
            "rate and burst of the customer are exceeded",
            retry_after_seconds=refused.retry_after_seconds,
        )
    return Refusal(
        Reason.NOT_HOLDER,
        "rate of the customer cannot be counted now",
        retry_after_seconds=max(refused.retry_after_seconds, 1.0),
    )
