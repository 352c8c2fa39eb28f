"""The rate and burst of the customers whose slots this host holds."""

import logging
import threading
import time
from dataclasses import replace

import msgspec
from expression import Error, Ok, Result

from swifttide_core.configuration import Change
from swifttide_core.documents import Customer, DocumentKind
from swifttide_core.limits import (
    MAX_BATCH_TTL_SECONDS,
    Batch,
    CustomerShare,
    Pull,
    RateRefused,
    ZoneShareManager,
    ZoneShares,
)
from swifttide_core.slots import SlotKind
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.limits._held_share import HeldShare
from swifttide_daemon.limits._messages import (
    DrawAnswer,
    DrawRequest,
    HandoverRequest,
    ReturnRequest,
    YieldRequest,
)
from swifttide_daemon.limits._share_rows import ShareRows, StoredShares
from swifttide_daemon.membership import MembershipService, MovedSlots
from swifttide_daemon.peers import PeerClient
from swifttide_daemon.targets import not_holder

log = logging.getLogger(__name__)

MAX_HANDOVERS = 10_000


class ShareService:
    """Buckets by customer, made when a customer is first asked for.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    rows : ShareRows
    peers : PeerClient
    """

    def __init__(
        self,
        membership: MembershipService,
        config: ConfigService,
        rows: ShareRows,
        peers: PeerClient,
    ) -> None:
        self.membership = membership
        self.config = config
        self.rows = rows
        self.peers = peers
        self._held: dict[str, HeldShare] = {}
        self._handed: dict[str, tuple[HandoverRequest, float]] = {}
        self._lock = threading.Lock()
        config.add_listener(self._on_changes)
        membership.on_moved(self._hand_over)

    @property
    def holder_id(self) -> str:
        """Host and incarnation, as other holders know this one."""
        me = self.membership.me
        return f"{me.host}-{me.incarnation}"

    def held(self) -> dict[str, HeldShare]:
        """Return the buckets that are kept here, by customer."""
        with self._lock:
            return dict(self._held)

    def drop(self, customer: str) -> None:
        """Forget a bucket whose slot another host holds."""
        with self._lock:
            self._held.pop(customer, None)

    def next_write(self, held: HeldShare) -> ZoneShares | None:
        """Return the row to write for a bucket, or None."""
        with self._lock:
            return held.keeper.next_write(time.monotonic())

    def learn(self, held: HeldShare, stored: StoredShares) -> None:
        """Put a row in force that was read."""
        with self._lock:
            held.keeper.apply_row(time.monotonic(), stored.shares, stored.version)

    def draw(self, customer: str, req: DrawRequest) -> Result[DrawAnswer, Refusal]:
        """Lend tokens of a customer to an entry host."""
        found = self._share(customer)
        if found.is_error():
            return found
        held = found.ok
        others = tuple(z for z in self.membership.zones() if z != self._zone)
        with self._lock:
            # Both clocks are read under the lock: a thread that was held up between
            # the check of the lease and the lending must not lend after its end.
            now = time.monotonic()
            answer = held.share.draw(
                now,
                req.entry_host,
                req.wanted,
                now + self.membership.lease_remaining(),
                draw_id=req.draw_id,
                zone=req.entry_zone if req.entry_zone == self._zone else "",
                partial=req.partial,
                spend_seconds=req.spend_seconds,
                returned=req.returned,
            )
            pulls = held.share.next_pulls(now, self.holder_id, others)
            moved = self._held.get(customer) is not held
        if moved and isinstance(answer, RateRefused):
            # The bucket was handed over in the meantime. It refuses everything, which
            # says nothing of the customer's rate.
            return Error(not_holder("customer"))
        for pull in pulls:
            # The caller's request doesn't wait for another zone's answer.
            args = (customer, held, pull)
            threading.Thread(target=self._pull, args=args, daemon=True).start()
        return Ok(DrawAnswer.from_core(answer))

    def give_back(self, customer: str, req: ReturnRequest) -> None:
        """Take tokens back."""
        with self._lock:
            held = self._held.get(customer)
            if held is not None:
                held.share.return_batch(time.monotonic(), req.entry_host, req.batch)

    def yield_to(self, customer: str, req: YieldRequest) -> Result[DrawAnswer, Refusal]:
        """Give another zone's holder a part of the level."""
        found = self._share(customer)
        if found.is_error():
            return found
        with self._lock:
            now = time.monotonic()
            lease_ends_at = now + self.membership.lease_remaining()
            answer = found.ok.share.answer_pull(
                now, req.holder, req.pull, lease_ends_at, zone=req.zone
            )
            offered = req.zone in found.ok.keeper.row.offers
        return Ok(replace(DrawAnswer.from_core(answer), offered=offered))

    def receive(self, handovers: list[HandoverRequest]) -> None:
        """Keep what a former holder passes on until the slot is claimed here."""
        now = time.monotonic()
        with self._lock:
            if len(self._handed) > MAX_HANDOVERS:
                self._handed.clear()
            for handover in handovers:
                self._handed[handover.customer] = (handover, now)

    @property
    def _zone(self) -> str:
        return self.membership.me.zone

    def _share(self, customer: str) -> Result[HeldShare, Refusal]:
        epoch = self.membership.epoch(SlotKind.CUSTOMER, customer)
        if epoch is None:
            return Error(not_holder("customer"))
        with self._lock:
            held = self._held.get(customer)
            if held is not None and held.epoch == epoch:
                return Ok(held)
        return self._take_over(customer, epoch)

    def _take_over(self, customer: str, epoch: int) -> Result[HeldShare, Refusal]:
        document = self.config.customer(customer)
        if document is None:
            return Error(Refusal(Reason.NOT_FOUND, f"no customer {customer!r}"))
        read = self.rows.read(document)
        if read.is_error():
            # Without the row nobody here knows the zone's part; guessing it could
            # give the customer more than its rate.
            return Error(
                Refusal(
                    Reason.PLATFORM_UNAVAILABLE,
                    "the customer's share of rate can't be read",
                    retry_after_seconds=1.0,
                )
            )
        with self._lock:
            held = self._held.get(customer)
            if held is not None and held.epoch == epoch:
                return Ok(held)
            keeper = self._new_keeper(document, read.ok, epoch)
            held = self._held[customer] = HeldShare(epoch, keeper)
            return Ok(held)

    def _new_keeper(
        self, customer: Customer, stored: StoredShares, epoch: int
    ) -> ZoneShareManager:
        fraction = stored.shares.fraction(self._zone)
        share = self._new_share(customer, fraction, epoch, stored.created)
        zones = tuple(self.membership.zones())
        return ZoneShareManager(
            self._zone, zones, customer, stored.shares, stored.version, share
        )

    def _new_share(
        self, customer: Customer, fraction: float, epoch: int, never_served: bool
    ) -> CustomerShare:
        handed = self._handed.pop(customer.name, None)
        if handed is not None and handed[0].epoch == epoch:
            handover, received_at = handed
            return CustomerShare.from_handover(
                customer, fraction, handover.state, received_at
            )
        # Since the claim nobody else has lent tokens, and what was lent before it is
        # out of use a batch's life later; what came in from then on is there, although
        # the bucket is only made now.
        claimed_at = self.membership.held_since(SlotKind.CUSTOMER, customer.name)
        since = None if claimed_at is None else claimed_at + MAX_BATCH_TTL_SECONDS
        if never_served:
            since = float("-inf")
        return CustomerShare.from_config(
            customer, fraction, time.monotonic(), unserved_since=since
        )

    def _pull(self, customer: str, held: HeldShare, pull: Pull) -> None:
        holder = self.membership.holder(SlotKind.CUSTOMER, customer, pull.zone)
        if holder is None:
            return
        req = YieldRequest(self.holder_id, pull, self._zone)
        path = f"/peer/v1/customers/{customer}/yield"
        sent = self.peers.call(holder.peer_url, "POST", path, req)
        if sent.is_error():
            return
        found = msgspec.convert(sent.ok, DrawAnswer)
        held.offered = held.offered or found.offered
        answer: Batch | RateRefused | None = found.batch or found.refused
        if answer is not None:
            with self._lock:
                held.share.settle_pull(time.monotonic(), pull.draw_id, answer)

    def _hand_over(self, moved: MovedSlots) -> None:
        """Pass the buckets of slots that were given up to the next holders."""
        now = time.monotonic()
        by_url: dict[str, list[HandoverRequest]] = {}
        with self._lock:
            for customer, held in list(self._held.items()):
                slot = self.membership.slot(SlotKind.CUSTOMER, customer)
                move = moved.moves.get(slot)
                if move is None:
                    continue
                state = held.share.hand_over(now)
                del self._held[customer]
                request = HandoverRequest(customer, move.next_epoch, state)
                by_url.setdefault(move.peer_url, []).append(request)
        for url, requests in by_url.items():
            self.peers.call(url, "POST", "/peer/v1/handovers", requests)

    def _on_changes(self, changes: list[Change]) -> None:
        for change in changes:
            if change.kind is not DocumentKind.CUSTOMER:
                continue
            customer = self.config.customer(change.name)
            held = self.held().get(change.name)
            if customer is not None and held is not None:
                with self._lock:
                    held.keeper.set_customer(time.monotonic(), customer)
