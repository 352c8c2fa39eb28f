"""Share of a customer in one zone, kept consistent with its ``shares`` row.

The load pattern is that of ``CustomerShare``. In addition, other zones change the row,
and answers of the platform can be late, lost, or older than the known row.

Without this module, a fraction would be used in two zones at once: after a write whose
answer was lost, or if a late read restored a fraction that was given up.

The fraction in use never exceeds the fraction in the newest known row, less the pending
transfer. It is lowered before the write and raised only after it.
"""

from swifttide_core.documents import Customer
from swifttide_core.limits._customer_share import CustomerShare
from swifttide_core.limits._share_transfer import (
    NoTransfer,
    TransferShare,
    plan_transfer,
)
from swifttide_core.limits._zone_shares import ZoneShares


class ZoneShareManager:
    """Share and ``shares`` row of one customer, managed by the holder of its slot.

    Parameters
    ----------
    zone : str
        Zone of this holder.
    zones : tuple of str
        All zones.
    customer : Customer
        Customer with the limits in force.
    row : ZoneShares
        Row as read after the slot was claimed.
    version : int
        Version of the row.
    share : CustomerShare
        Share that was started with the fraction of the row.

    Notes
    -----
    Every write is conditional on ``version`` and on the epoch of the slot.
    """

    def __init__(self, zone, zones, customer, row, version, share):
        self.zone = zone
        self.zones = zones
        self.customer = customer
        self.row = row
        self.version = version
        self.share = share
        self._pending_transfer = NoTransfer()

    @classmethod
    def from_row(
        cls,
        zone: str,
        zones: tuple[str, ...],
        customer: Customer,
        row: ZoneShares,
        version: int,
        now: float,
        unserved_since: float | None = None,
    ) -> "ZoneShareManager":
        """Start at a takeover of the slot; see ``CustomerShare.from_config``."""
        fraction = row.fraction(zone)
        share = CustomerShare.from_config(customer, fraction, now, unserved_since)
        return cls(zone, zones, customer, row, version, share)

    @property
    def has_pending_transfer(self) -> bool:
        """Whether this zone has stopped using a fraction that its row still has."""
        return isinstance(self._pending_transfer, TransferShare)

    def set_customer(self, now: float, customer: Customer) -> None:
        """Apply an edit of the customer's limits."""
        self.customer = customer
        self._apply_limits(now)

    def apply_row(self, now: float, row: ZoneShares, version: int) -> None:
        """Apply a row that was read, or that was committed by this host.

        A row that is not newer than the known one is ignored.
        """
        if version <= self.version:
            return
        if row.fraction(self.zone) < self.row.fraction(self.zone):
            self._pending_transfer = NoTransfer()
        self.row = row
        self.version = version
        self._apply_limits(now)

    def next_write(self, now: float) -> ZoneShares | None:
        """Return the row to commit now, conditional on ``version``, or None.

        Call it every few seconds. Pass the outcome to ``apply_row``; if the answer to
        the write was lost, pass the result of the next read.
        """
        if self.row.offers.get(self.zone, 0.0) > 0.0:
            return self.row.with_offer_accepted(self.zone)
        if isinstance(self._pending_transfer, NoTransfer):
            self._pending_transfer = plan_transfer(
                self.row,
                self.zone,
                self.zones,
                self.share.demand_per_second(now),
                self.customer,
            )
            self._apply_limits(now)
        match self._pending_transfer:
            case TransferShare(to_zone, fraction):
                given = self.row.with_offer(self.zone, to_zone, fraction)
                burst = self.customer.burst * given.fraction(self.zone)
                return given if self.share.fits_burst(now, burst) else None
        return None

    def _apply_limits(self, now):
        fraction = self.row.fraction(self.zone)
        match self._pending_transfer:
            case TransferShare(_, given):
                fraction = max(0.0, fraction - given)
        self.share.set_limits(now, self.customer, fraction)
