"""Loads shares, and moves parts of a rate to the zones where its requests arrive.

For each customer whose slot this host holds, a thread checks every
`PLAN_INTERVAL_SECONDS` whether a part of the share should be given up or an offered
part be accepted, and writes the change to the customer's ``shares`` row.
"""

import logging
import threading

from swifttide_core.limits import ZoneShares
from swifttide_core.slots import SlotKind
from swifttide_daemon._elapsed_clock import elapsed_seconds
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.limits._managed_share import ManagedShare
from swifttide_daemon.limits._share_loader import ShareLoader
from swifttide_daemon.limits._share_rows import ShareRows
from swifttide_daemon.limits._share_service import ShareService
from swifttide_daemon.membership import MembershipService

log = logging.getLogger(__name__)

STEP_INTERVAL_SECONDS = 0.5
PLAN_INTERVAL_SECONDS = 5.0
"""Interval of the checks per customer. A check does not read the row; it is read only
after a write, or when the holder in another zone reports an offer. For 7,900 customers
in 5 zones, a read per check would be thousands of reads per second."""


class ShareMover:
    """Gives up parts of shares that other zones need and accepts offered parts.

    Parameters
    ----------
    membership : MembershipService
    config : ConfigService
    shares : ShareService
    rows : ShareRows
    loader : ShareLoader
        Loads the shares of slots that were claimed.
    """

    def __init__(
        self,
        membership: MembershipService,
        config: ConfigService,
        shares: ShareService,
        rows: ShareRows,
        loader: ShareLoader,
    ) -> None:
        self.loader = loader
        self.membership = membership
        self.config = config
        self.shares = shares
        self.rows = rows
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread that moves shares."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; the shares remain as they are."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.wait(STEP_INTERVAL_SECONDS):
            try:
                self.loader.step()
            except Exception:
                # A malformed row must not end the thread.
                log.exception("load of customers' shares failed")
            for name, managed_share in self.shares.managed_shares().items():
                try:
                    self._step(name, managed_share)
                except Exception:
                    # An error for one customer must not stop the others.
                    log.exception(
                        "update of the customer's share failed",
                        extra={"customer": name},
                    )

    def _step(self, name: str, managed_share: ManagedShare) -> None:
        if self.membership.epoch(SlotKind.CUSTOMER, name) != managed_share.epoch:
            if self.membership.keeper.holds():
                self.shares.drop(name)
            return
        if managed_share.has_offer:
            managed_share.has_offer = False
            self._reload(name, managed_share)
        now = elapsed_seconds()
        if now < managed_share.next_plan_at:
            return
        row = self.shares.next_write(managed_share)
        managed_share.next_plan_at = (
            now
            if managed_share.manager.has_pending_transfer
            else now + PLAN_INTERVAL_SECONDS
        )
        if row is not None:
            self._write(name, managed_share, row)

    def _write(self, name: str, managed_share: ManagedShare, row: ZoneShares) -> None:
        fence = self.membership.fence(SlotKind.CUSTOMER, name, managed_share.epoch)
        if fence is not None:
            self.rows.write(name, managed_share.manager.version, row, (fence,))
            # The write may have failed or its answer been lost; only the row counts.
            self._reload(name, managed_share)

    def _reload(self, name: str, managed_share: ManagedShare) -> None:
        customer = self.config.customer(name)
        if customer is None:
            return
        read = self.rows.read(customer)
        if read.is_ok():
            self.shares.apply_row(managed_share, read.ok)
            managed_share.next_plan_at = 0.0
