"""Moves parts of a customer's rate to the zones where its requests arrive."""

import logging
import threading
import time

from swifttide_core.limits import ZoneShares
from swifttide_core.slots import SlotKind
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.limits._local_share import LocalShare
from swifttide_daemon.limits._share_rows import ShareRows
from swifttide_daemon.limits._share_service import ShareService
from swifttide_daemon.membership import MembershipService

log = logging.getLogger(__name__)

STEP_INTERVAL_SECONDS = 0.5
PLAN_INTERVAL_SECONDS = 5.0
"""Pause between thoughts about moving a part. They cost no read; the row is read
only after a write or when another zone's holder says that it holds an offer: 7,900
customers in 5 zones would be thousands of reads a second."""


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
        while not self._stop.wait(STEP_INTERVAL_SECONDS):
            for name, local_share in self.shares.local_shares().items():
                try:
                    self._step(name, local_share)
                except Exception:
                    # One odd row must not stop the moves of other customers.
                    log.exception("share step failed", extra={"customer": name})

    def _step(self, name: str, local_share: LocalShare) -> None:
        if self.membership.epoch(SlotKind.CUSTOMER, name) != local_share.epoch:
            if self.membership.keeper.holds():
                self.shares.drop(name)
            return
        if local_share.has_offer:
            local_share.has_offer = False
            self._reload(name, local_share)
        now = time.monotonic()
        if now < local_share.next_plan_at:
            return
        row = self.shares.next_write(local_share)
        local_share.next_plan_at = (
            now
            if local_share.manager.has_pending_transfer
            else now + PLAN_INTERVAL_SECONDS
        )
        if row is not None:
            self._write(name, local_share, row)

    def _write(self, name: str, local_share: LocalShare, row: ZoneShares) -> None:
        fence = self.membership.fence(SlotKind.CUSTOMER, name, local_share.epoch)
        if fence is not None:
            self.rows.write(name, local_share.manager.version, row, (fence,))
            # Only what the row says is used, whatever became of the write.
            self._reload(name, local_share)

    def _reload(self, name: str, local_share: LocalShare) -> None:
        customer = self.config.customer(name)
        if customer is None:
            return
        read = self.rows.read(customer)
        if read.is_ok():
            self.shares.apply_row(local_share, read.ok)
            local_share.next_plan_at = 0.0
