"""Token buckets of the customers whose slots this host holds.

A bucket is created when a customer's tokens are first drawn after the slot was claimed.
It starts from the state that the former holder handed over, or from the customer's row
and the time since the claim. Tokens are lent to entry hosts, and parts of the level are
exchanged with the holders in other zones.
"""

import logging
import threading
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
from swifttide_daemon._elapsed_clock import elapsed_seconds
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.limits._managed_share import ManagedShare
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

MAX_PENDING_HANDOVERS = 10_000


class ShareService:
    """Lends, takes back and hands over the tokens of customers.

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
        self._managed_shares: dict[str, ManagedShare] = {}
        self._pending_handovers: dict[str, tuple[HandoverRequest, float]] = {}
        self._lock = threading.Lock()
        config.add_listener(self._on_config_changes)
        membership.on_moved(self._hand_over)

    @property
    def holder_id(self) -> str:
        """Name and incarnation of this host, by which other holders identify it."""
        me = self.membership.me
        return f"{me.host}-{me.incarnation}"

    def managed_shares(self) -> dict[str, ManagedShare]:
        """Return the shares that this host keeps, by customer."""
        with self._lock:
            return dict(self._managed_shares)

    def drop(self, customer: str) -> None:
        """Remove the share of a customer whose slot another host holds."""
        with self._lock:
            self._managed_shares.pop(customer, None)

    def next_write(self, managed_share: ManagedShare) -> ZoneShares | None:
        """Return the row to write for a share, or None if nothing changes."""
        with self._lock:
            return managed_share.manager.next_write(elapsed_seconds())

    def apply_row(self, managed_share: ManagedShare, stored: StoredShares) -> None:
        """Apply a row that was read from the platform."""
        with self._lock:
            managed_share.manager.apply_row(
                elapsed_seconds(), stored.shares, stored.version
            )

    def draw(self, customer: str, req: DrawRequest) -> Result[DrawAnswer, Refusal]:
        """Lend tokens of a customer to an entry host."""
        found = self._get_or_create_share(customer)
        if found.is_error():
            return found
        managed_share = found.ok
        others = tuple(z for z in self.membership.zones() if z != self._zone)
        with self._lock:
            # Time and lease are read under the lock: a thread that was delayed between
            # the check of the lease and the lending must not lend after its end.
            now = elapsed_seconds()
            answer = managed_share.share.draw(
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
            pulls = managed_share.share.next_pulls(now, self.holder_id, others)
            moved = self._managed_shares.get(customer) is not managed_share
        if moved and isinstance(answer, RateRefused):
            # The bucket was handed over in the meantime and refuses every draw. This
            # does not mean that the customer exceeded its rate.
            return Error(not_holder("customer"))
        for pull in pulls:
            # The request must not wait for the answer of another zone.
            args = (customer, managed_share, pull)
            threading.Thread(target=self._send_pull, args=args, daemon=True).start()
        return Ok(DrawAnswer.from_core(answer))

    def load(self, customer: str) -> bool:
        """Create the share of a customer if this host holds the slot.

        Returns
        -------
        bool
            False if the customer's row can't be read now. A customer without a row has
            not been served yet; its share is created with the first draw.
        """
        epoch = self.membership.epoch(SlotKind.CUSTOMER, customer)
        document = self.config.customer(customer)
        if epoch is None or document is None or self._has_share(customer, epoch):
            return True
        found = self.rows.find(customer)
        if found.is_ok() and found.ok is not None:
            self._add_share(document, found.ok, epoch)
        return found.is_ok()

    def return_batch(self, customer: str, req: ReturnRequest) -> None:
        """Return the unspent tokens of a batch to the bucket."""
        with self._lock:
            managed_share = self._managed_shares.get(customer)
            if managed_share is not None:
                managed_share.share.return_batch(
                    elapsed_seconds(), req.entry_host, req.batch
                )

    def answer_pull(
        self, customer: str, req: YieldRequest
    ) -> Result[DrawAnswer, Refusal]:
        """Answer a holder in another zone that asks for a part of the level."""
        found = self._get_or_create_share(customer)
        if found.is_error():
            return found
        with self._lock:
            now = elapsed_seconds()
            lease_ends_at = now + self.membership.lease_remaining()
            answer = found.ok.share.answer_pull(
                now, req.holder, req.pull, lease_ends_at, zone=req.zone
            )
            offered = req.zone in found.ok.manager.row.offers
        return Ok(replace(DrawAnswer.from_core(answer), offered=offered))

    def receive_handovers(self, handovers: list[HandoverRequest]) -> None:
        """Store states of a former holder until this host uses their slots."""
        now = elapsed_seconds()
        with self._lock:
            if len(self._pending_handovers) > MAX_PENDING_HANDOVERS:
                self._pending_handovers.clear()
            for handover in handovers:
                self._pending_handovers[handover.customer] = (handover, now)

    @property
    def _zone(self) -> str:
        return self.membership.me.zone

    def _get_or_create_share(self, customer: str) -> Result[ManagedShare, Refusal]:
        epoch = self.membership.epoch(SlotKind.CUSTOMER, customer)
        if epoch is None:
            return Error(not_holder("customer"))
        with self._lock:
            managed_share = self._managed_shares.get(customer)
            if managed_share is not None and managed_share.epoch == epoch:
                return Ok(managed_share)
        return self._create_share(customer, epoch)

    def _has_share(self, customer: str, epoch: int) -> bool:
        with self._lock:
            managed_share = self._managed_shares.get(customer)
            return managed_share is not None and managed_share.epoch == epoch

    def _create_share(self, customer: str, epoch: int) -> Result[ManagedShare, Refusal]:
        document = self.config.customer(customer)
        if document is None:
            return Error(Refusal(Reason.NOT_FOUND, f"no customer {customer!r}"))
        read = self.rows.read(document)
        stored = read.ok if read.is_ok() else self._handed_over_row(customer, epoch)
        if stored is None:
            # Without the row the fraction of this zone is unknown. A guess could admit
            # more than the customer's rate.
            return Error(
                Refusal(
                    Reason.PLATFORM_UNAVAILABLE,
                    "cannot read the customer's share of its rate",
                    retry_after_seconds=1.0,
                )
            )
        return Ok(self._add_share(document, stored, epoch))

    def _handed_over_row(self, customer: str, epoch: int) -> StoredShares | None:
        """Return the row that the former holder sent, or None.

        No other host has used this zone's fraction since: the former holder released
        the slot before it sent the row, and `epoch` is the next claim.
        """
        with self._lock:
            pending = self._pending_handovers.get(customer)
        if pending is None or pending[0].epoch != epoch:
            return None
        return pending[0].stored

    def _add_share(
        self, document: Customer, stored: StoredShares, epoch: int
    ) -> ManagedShare:
        with self._lock:
            managed_share = self._managed_shares.get(document.name)
            if managed_share is None or managed_share.epoch != epoch:
                manager = self._new_manager(document, stored, epoch)
                managed_share = ManagedShare(epoch, manager)
                self._managed_shares[document.name] = managed_share
            return managed_share

    def _new_manager(
        self, customer: Customer, stored: StoredShares, epoch: int
    ) -> ZoneShareManager:
        fraction = stored.shares.fraction(self._zone)
        share = self._new_bucket(customer, fraction, epoch, stored.created)
        zones = tuple(self.membership.zones())
        return ZoneShareManager(
            self._zone, zones, customer, stored.shares, stored.version, share
        )

    def _new_bucket(
        self, customer: Customer, fraction: float, epoch: int, is_new_customer: bool
    ) -> CustomerShare:
        pending = self._pending_handovers.pop(customer.name, None)
        if pending is not None and pending[0].epoch == epoch:
            handover, received_at = pending
            return CustomerShare.from_handover(
                customer, fraction, handover.state, received_at
            )
        # No other host has lent tokens since the claim, and batches lent before it have
        # expired after the maximum batch lifetime. The refill since then is credited,
        # although the bucket is created only now.
        claimed_at = self.membership.held_since(SlotKind.CUSTOMER, customer.name)
        since = None if claimed_at is None else claimed_at + MAX_BATCH_TTL_SECONDS
        if is_new_customer:
            since = float("-inf")
        return CustomerShare.from_config(
            customer, fraction, elapsed_seconds(), unserved_since=since
        )

    def _send_pull(
        self, customer: str, managed_share: ManagedShare, pull: Pull
    ) -> None:
        holder = self.membership.holder(SlotKind.CUSTOMER, customer, pull.zone)
        if holder is None:
            return
        req = YieldRequest(self.holder_id, pull, self._zone)
        path = f"/peer/v1/customers/{customer}/yield"
        sent = self.peers.call(holder.peer_url, "POST", path, req)
        if sent.is_error():
            return
        found = msgspec.convert(sent.ok, DrawAnswer)
        managed_share.has_offer = managed_share.has_offer or found.offered
        answer: Batch | RateRefused | None = found.batch or found.refused
        if answer is not None:
            with self._lock:
                managed_share.share.settle_pull(elapsed_seconds(), pull.draw_id, answer)

    def _hand_over(self, moved: MovedSlots) -> None:
        """Send the buckets of slots that were given up to their next holders."""
        now = elapsed_seconds()
        by_url: dict[str, list[HandoverRequest]] = {}
        with self._lock:
            for customer, managed_share in list(self._managed_shares.items()):
                slot = self.membership.slot(SlotKind.CUSTOMER, customer)
                move = moved.moves.get(slot)
                if move is None:
                    continue
                state = managed_share.share.hand_over(now)
                del self._managed_shares[customer]
                request = HandoverRequest(
                    customer, move.next_epoch, state, managed_share.stored
                )
                by_url.setdefault(move.peer_url, []).append(request)
        for url, requests in by_url.items():
            self.peers.call(url, "POST", "/peer/v1/handovers", requests)

    def _on_config_changes(self, changes: list[Change]) -> None:
        for change in changes:
            if change.kind is not DocumentKind.CUSTOMER:
                continue
            customer = self.config.customer(change.name)
            managed_share = self.managed_shares().get(change.name)
            if customer is not None and managed_share is not None:
                with self._lock:
                    managed_share.manager.set_customer(elapsed_seconds(), customer)
