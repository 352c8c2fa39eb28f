"""The rate and burst of the customers whose slots this host holds."""

import logging
import threading
import time
from dataclasses import dataclass

from expression import Error, Ok, Result

from swifttide_core.configuration import Change
from swifttide_core.documents import Customer, DocumentKind
from swifttide_core.limits import (
    Batch,
    CustomerShare,
    GiveUp,
    RateRefused,
    plan_move,
)
from swifttide_core.slots import SlotKind
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.limits._messages import DrawAnswer, DrawRequest, ReturnRequest
from swifttide_daemon.limits._share_rows import ShareRows, StoredShares
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.targets import not_holder

log = logging.getLogger(__name__)

MOVE_SECONDS = 5.0
"""Pause between looks at whether shares should move among zones."""


@dataclass(slots=True)
class _Held:
    epoch: int
    share: CustomerShare
    stored: StoredShares


class ShareService:
    """Buckets by customer, made when a customer is first asked for.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    rows : ShareRows
    """

    def __init__(
        self, membership: MembershipService, config: ConfigService, rows: ShareRows
    ) -> None:
        self.membership = membership
        self.config = config
        self.rows = rows
        self._held: dict[str, _Held] = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        config.listen(self._on_changes)

    def start(self) -> None:
        """Move shares among zones from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Leave the shares as they are."""
        self._stop.set()

    def draw(self, customer: str, req: DrawRequest) -> Result[DrawAnswer, Refusal]:
        """Lend tokens of a customer to an entry host."""
        held = self._share(customer)
        if held.is_error():
            return held
        with self._lock:
            # Both clocks are read under the lock: a thread that was held up between
            # the check of the lease and the lending must not lend after its end.
            now = time.monotonic()
            answer = held.ok.share.draw(
                now,
                req.entry_host,
                req.wanted,
                now + self.membership.lease_remaining(),
                draw_id=req.draw_id,
                zone=req.entry_zone,
                partial=req.partial,
                returned=req.returned,
            )
        match answer:
            case Batch():
                return Ok(DrawAnswer(batch=answer))
            case RateRefused():
                return Ok(DrawAnswer(refused=answer))

    def give_back(self, customer: str, req: ReturnRequest) -> None:
        """Take tokens back."""
        with self._lock:
            held = self._held.get(customer)
            if held is not None:
                held.share.give_back(time.monotonic(), req.entry_host, req.batch)

    def _share(self, customer: str) -> Result[_Held, Refusal]:
        epoch = self.membership.epoch(SlotKind.CUSTOMER, customer)
        if epoch is None:
            return Error(not_holder("customer"))
        with self._lock:
            held = self._held.get(customer)
            if held is not None and held.epoch == epoch:
                return Ok(held)
        return self._take_over(customer, epoch)

    def _take_over(self, customer: str, epoch: int) -> Result[_Held, Refusal]:
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
        zone = self.membership.me.zone
        never_served = float("-inf") if read.ok.created else None
        with self._lock:
            held = self._held.get(customer)
            if held is not None and held.epoch == epoch:
                return Ok(held)
            share = CustomerShare.from_config(
                document,
                read.ok.shares.fraction(zone),
                time.monotonic(),
                unserved_since=never_served,
            )
            held = self._held[customer] = _Held(epoch, share, read.ok)
            return Ok(held)

    def _on_changes(self, changes: list[Change]) -> None:
        for change in changes:
            customer = self.config.state.get(DocumentKind.CUSTOMER, change.name)
            if change.kind is DocumentKind.CUSTOMER and isinstance(customer, Customer):
                self._set_limits(customer)

    def _set_limits(self, customer: Customer) -> None:
        with self._lock:
            held = self._held.get(customer.name)
            if held is not None:
                fraction = held.stored.shares.fraction(self.membership.me.zone)
                held.share.set_limits(time.monotonic(), customer, fraction)

    def _run(self) -> None:
        while not self._stop.wait(MOVE_SECONDS):
            for customer in list(self._held):
                try:
                    self._look(customer)
                except Exception:
                    log.exception("share step failed", extra={"customer": customer})

    def _look(self, customer: str) -> None:
        epoch = self.membership.epoch(SlotKind.CUSTOMER, customer)
        with self._lock:
            held = self._held.get(customer)
            if held is None:
                return
            if held.epoch != epoch:
                del self._held[customer]
                return
        document = self.config.customer(customer)
        if document is None:
            return
        read = self.rows.read(document)
        if read.is_ok():
            held.stored = read.ok
            self._take_offer(document, held)
            self._give_up(document, held)

    def _take_offer(self, customer: Customer, held: _Held) -> None:
        zone = self.membership.me.zone
        if held.stored.shares.offers.get(zone, 0.0) <= 0.0:
            return
        taken = held.stored.shares.take(zone)
        if self.rows.write(customer.name, held.stored, taken):
            with self._lock:
                fraction = taken.fraction(zone)
                held.share.set_limits(time.monotonic(), customer, fraction)
            self._reread(customer, held)

    def _give_up(self, customer: Customer, held: _Held) -> None:
        """Stop using a part, and only then offer it to the zone that needs it."""
        zone = self.membership.me.zone
        now = time.monotonic()
        shares = held.stored.shares
        with self._lock:
            drawn = held.share.drawn_per_second(now)
            plan = plan_move(shares, zone, drawn, customer.rate_per_second)
            if not isinstance(plan, GiveUp):
                return
            given = shares.give(zone, plan.to_zone, plan.fraction)
            held.share.set_limits(now, customer, given.fraction(zone))
            settled = held.share.within(now, customer.burst * given.fraction(zone))
        if settled and self.rows.write(customer.name, held.stored, given):
            self._reread(customer, held)
            return
        if settled:
            # Whether the write took effect is unknown; the row tells.
            self._reread(customer, held)
        self._restore(customer, held)

    def _reread(self, customer: Customer, held: _Held) -> None:
        read = self.rows.read(customer)
        if read.is_ok():
            held.stored = read.ok

    def _restore(self, customer: Customer, held: _Held) -> None:
        with self._lock:
            fraction = held.stored.shares.fraction(self.membership.me.zone)
            held.share.set_limits(time.monotonic(), customer, fraction)
