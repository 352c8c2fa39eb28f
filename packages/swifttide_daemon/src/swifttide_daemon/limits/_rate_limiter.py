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

RETURN_SECONDS = 0.1
MOVE_SECONDS = 2.0
MOVE_PAUSE_SECONDS = 0.25


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
        self._allowance: EntryRateLimiter | None = None
        self._incarnation = ""
        self._zones: tuple[str, ...] = ()
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

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
        `MOVE_SECONDS`.
        """
        ends_at = time.monotonic() + MOVE_SECONDS
        while True:
            refusal = self._try(customer)
            uncounted = refusal is not None and refusal.reason is Reason.NOT_HOLDER
            if not uncounted or time.monotonic() >= ends_at:
                return refusal
            time.sleep(MOVE_PAUSE_SECONDS)

    def _try(self, customer: Customer) -> Refusal | None:
        with self._lock:
            allowance = self._current()
            answer = allowance.admit(time.monotonic(), customer)
        while isinstance(answer, DrawOrder):
            drawn = self._draw(answer)
            with self._lock:
                settled = allowance.settle(time.monotonic(), answer.draw_id, drawn)
            answer = settled if settled is not None else RateRefused(RETURN_SECONDS)
        if isinstance(answer, RateAdmitted):
            return None
        return _refusal(answer)

    def _current(self) -> EntryRateLimiter:
        """Return the allowance, a new one after this host lost its lease."""
        me = self.membership.me
        zones = (me.zone, *(z for z in self.membership.zones() if z != me.zone))
        if self._allowance is None or self._incarnation != me.incarnation:
            self._incarnation = me.incarnation
            self._allowance = EntryRateLimiter(self._entry_host(), zones)
        self._allowance.zones = zones
        return self._allowance

    def _entry_host(self) -> str:
        me = self.membership.me
        return f"{me.host}-{me.incarnation}"

    def _draw(self, need: DrawOrder) -> Batch | RateRefused | DrawFailed:
        req = DrawRequest(
            entry_host=self._entry_host(),
            entry_zone=self.membership.me.zone,
            draw_id=need.draw_id,
            wanted=need.wanted,
            partial=need.partial,
            spend_seconds=need.spend_seconds,
            returned=need.returned,
        )
        holder = self.membership.holder(SlotKind.CUSTOMER, need.customer, need.zone)
        if holder is None:
            return DrawFailed()
        if holder.host == self.membership.me.host:
            answer = self.shares.draw(need.customer, req)
        else:
            path = f"/peer/v1/customers/{need.customer}/draw"
            sent = self.peers.call(holder.peer_url, "POST", path, req)
            answer = sent.map(lambda found: msgspec.convert(found, DrawAnswer))
        if answer.is_error():
            if answer.error.reason is Reason.NOT_HOLDER:
                self.membership.invalidate_views()
            return DrawFailed()
        return answer.ok.batch or answer.ok.refused or DrawFailed()

    def _run(self) -> None:
        while not self._stop.wait(RETURN_SECONDS):
            with self._lock:
                allowance = self._allowance
                orders = allowance.due_returns(time.monotonic()) if allowance else ()
            for order in orders:
                self._return(order)

    def _return(self, order: ReturnOrder) -> None:
        holder = self.membership.holder(SlotKind.CUSTOMER, order.customer, order.zone)
        if holder is None:
            return
        req = ReturnRequest(self._entry_host(), order.batch)
        if holder.host == self.membership.me.host:
            self.shares.give_back(order.customer, req)
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
