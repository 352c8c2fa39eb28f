"""The share of a customer in one zone, together with its ``shares`` row.

Load pattern: as in ``CustomerShare``; besides, the row is changed by other zones,
and an answer from the platform can be late, lost, or older than what is known.

Without it: a part that was given up by a write whose answer was lost, or that a
late read brings back, is used in two zones at once.

Grounds: what is in use is never above what the newest known row grants, less what
is being given up; it is lowered before the write and raised only after it.
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
    """What a slot's holder keeps for one customer.

    Parameters
    ----------
    zone : str
        Own zone.
    zones : tuple of str
        All zones.
    customer : Customer
        With the limits in force.
    row : ZoneShares
        The row, read after the slot was claimed.
    version : int
        Version of the row.
    share : CustomerShare
        Started with the row's fraction.

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
        """Start at a takeover, as ``CustomerShare.from_config`` does."""
        fraction = row.fraction(zone)
        share = CustomerShare.from_config(customer, fraction, now, unserved_since)
        return cls(zone, zones, customer, row, version, share)

    @property
    def has_pending_transfer(self) -> bool:
        """Whether a part is out of use here and not yet given up in the row."""
        return isinstance(self._pending_transfer, TransferShare)

    def set_customer(self, now: float, customer: Customer) -> None:
        """Put an edit in force."""
        self.customer = customer
        self._apply_limits(now)

    def apply_row(self, now: float, row: ZoneShares, version: int) -> None:
        """Take in a row that was read, or committed from here.

        An older one changes nothing.
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

        Call it every few seconds. The outcome comes back by ``learn``; of a write
        whose answer was lost, by the next read.
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
