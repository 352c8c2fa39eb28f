"""Admission of requests by their customer's rate, at an entry host."""

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
from swifttide_daemon.limits._messages import DrawAnswer, DrawRequest, ReturnRequest
from swifttide_daemon.limits._share_service import ShareService
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.peers import PeerClient

RETURN_INTERVAL_SECONDS = 0.1
MAX_TAKEOVER_SECONDS = 2.0
TAKEOVER_RETRY_SECONDS = 0.25


class RateLimiter:
    """Takes a token for each request, drawing batches from the holders.

    Parameters
    ----------
    membership : MembershipService
    peers : PeerClient
    shares : ShareService
        For customers whose slot is held here.
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
        """Give back unused tokens from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Give back all that is held."""
        self._stop.set()

    def admit(self, customer: Customer) -> Refusal | None:
        """Take a token; return why the request is refused, or None.

        While the customer's slot moves to another host nobody counts its rate. A
        refusal then would be a wrongful one, and a planned move takes less than
        `MAX_TAKEOVER_SECONDS`.
        """
        ends_at = time.monotonic() + MAX_TAKEOVER_SECONDS
        while True:
            refusal = self._admit_once(customer)
            uncounted = refusal is not None and refusal.reason is Reason.NOT_HOLDER
            if not uncounted or time.monotonic() >= ends_at:
                return refusal
            time.sleep(TAKEOVER_RETRY_SECONDS)

    def _admit_once(self, customer: Customer) -> Refusal | None:
        with self._lock:
            entry_limiter = self._current_limiter()
            answer = entry_limiter.admit(time.monotonic(), customer)
        while isinstance(answer, DrawOrder):
            drawn = self._draw(answer)
            with self._lock:
                settled = entry_limiter.settle(time.monotonic(), answer.draw_id, drawn)
            answer = (
                settled if settled is not None else RateRefused(RETURN_INTERVAL_SECONDS)
            )
        if isinstance(answer, RateAdmitted):
            return None
        return _refusal(answer)

    def _current_limiter(self) -> EntryRateLimiter:
        """Return the entry_limiter, a new one after this host lost its lease."""
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
            return DrawFailed()
        if holder.host == self.membership.me.host:
            answer = self.shares.draw(order.customer, req)
        else:
            path = f"/peer/v1/customers/{order.customer}/draw"
            sent = self.peers.call(holder.peer_url, "POST", path, req)
            answer = sent.map(lambda found: msgspec.convert(found, DrawAnswer))
        if answer.is_error():
            if answer.error.reason is Reason.NOT_HOLDER:
                self.membership.look_again()
            return DrawFailed()
        return answer.ok.batch or answer.ok.refused or DrawFailed()

    def _return_unused(self) -> None:
        while not self._stop.wait(RETURN_INTERVAL_SECONDS):
            with self._lock:
                entry_limiter = self._entry_limiter
                orders = (
                    entry_limiter.due_returns(time.monotonic()) if entry_limiter else ()
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


def _refusal(refused: RateRefused) -> Refusal:
    """Return a refusal that tells a used-up rate from one that nobody counts now.

    A zone without a share of the customer answers, too, and knows nothing of its rate.
    """
    if refused.rate > 0.0:
        return Refusal(
            Reason.RATE_LIMITED,
            "the customer's rate and burst are used up",
            retry_after_seconds=refused.retry_after_seconds,
        )
    return Refusal(
        Reason.NOT_HOLDER,
        "the customer's rate can't be counted at this moment",
        retry_after_seconds=max(refused.retry_after_seconds, 1.0),
    )
