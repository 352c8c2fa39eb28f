"""Moves parts of a customer's rate to the zones where its requests arrive."""

import logging
import threading
import time

from swifttide_core.documents import Customer
from swifttide_core.limits import GiveUp, plan_move
from swifttide_core.slots import SlotKind
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.limits._held_share import HeldShare
from swifttide_daemon.limits._share_rows import ShareRows
from swifttide_daemon.limits._share_service import ShareService
from swifttide_daemon.membership import MembershipService

log = logging.getLogger(__name__)

STEP_SECONDS = 0.5
LOOK_SECONDS = 10.0
"""Pause between looks at the row of a customer that is short of tokens. Customers
that are not cost no read: 7,900 of them in 5 zones would be thousands a second."""


class ShareMover:
    """Gives up parts that another zone needs, and takes what is offered here.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    shares : ShareService
    rows : ShareRows
    """

    def __init__(
        self,
        membership: MembershipService,
        config: ConfigService,
        shares: ShareService,
        rows: ShareRows,
    ) -> None:
        self.membership = membership
        self.config = config
        self.shares = shares
        self.rows = rows
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Move shares from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Leave the shares as they are."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.wait(STEP_SECONDS):
            for name, held in self.shares.held().items():
                try:
                    self._step(name, held)
                except Exception:
                    # One odd row must not stop the moves of other customers.
                    log.exception("share step failed", extra={"customer": name})

    def _step(self, name: str, held: HeldShare) -> None:
        if self.membership.epoch(SlotKind.CUSTOMER, name) != held.epoch:
            if self.membership.keeper.holds():
                self.shares.drop(name)
            return
        customer = self.config.customer(name)
        if customer is None:
            return
        if held.giving is not None:
            self._finish_giving(customer, held)
            return
        plan = self._plan(customer, held)
        now = time.monotonic()
        wants = isinstance(plan, GiveUp) or held.short
        if not wants or now - held.looked_at < LOOK_SECONDS:
            return
        held.looked_at = now
        held.short = False
        if not self._reread(customer, held):
            return
        self._take_offer(customer, held)
        self._begin_giving(customer, held)

    @property
    def _zone(self) -> str:
        return self.membership.me.zone

    def _plan(self, customer: Customer, held: HeldShare) -> object:
        drawn = self.shares.drawn_per_second(held)
        zones = tuple(self.membership.zones())
        return plan_move(held.stored.shares, self._zone, zones, drawn, customer)

    def _reread(self, customer: Customer, held: HeldShare) -> bool:
        read = self.rows.read(customer)
        if read.is_error():
            return False
        held.stored = read.ok
        fraction = held.stored.shares.fraction(self._zone)
        self.shares.set_fraction(customer, held, fraction)
        return True

    def _take_offer(self, customer: Customer, held: HeldShare) -> None:
        offers = held.stored.shares.offers
        if offers.get(self._zone, 0.0) <= 0.0:
            return
        taken = held.stored.shares.take(self._zone)
        self.rows.write(customer.name, held.stored, taken)
        # Only what the row says is used, whatever became of the write.
        self._reread(customer, held)

    def _begin_giving(self, customer: Customer, held: HeldShare) -> None:
        """Stop using a part; it is offered once nothing of it is in use."""
        match self._plan(customer, held):
            case GiveUp(to_zone, fraction):
                given = held.stored.shares.give(self._zone, to_zone, fraction)
                held.giving = given
                used = given.fraction(self._zone)
                self.shares.set_fraction(customer, held, used)

    def _finish_giving(self, customer: Customer, held: HeldShare) -> None:
        given = held.giving
        burst = customer.burst * given.fraction(self._zone)
        if not self.shares.within(held, burst):
            return
        held.giving = None
        self.rows.write(customer.name, held.stored, given)
        if not self._reread(customer, held):
            # Whether the part was given away is unknown; it stays out of use until
            # the row has been read.
            held.giving = given
