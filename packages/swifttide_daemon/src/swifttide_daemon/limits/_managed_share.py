"""Share of a customer's rate at the host that holds the customer's slot."""

from dataclasses import dataclass

from swifttide_core.limits import CustomerShare, ZoneShareManager
from swifttide_daemon.limits._share_rows import StoredShares


@dataclass(slots=True)
class ManagedShare:
    """Token bucket and ``shares`` row of a customer, and the time of the next check.

    Parameters
    ----------
    epoch : int
        Epoch of the slot when the share was created.
    manager : ZoneShareManager
    next_plan_at : float
        Monotonic time in seconds at which to check whether a part of the share should
        move to another zone.
    has_offer : bool
        Whether the holder in another zone reported an offer for this zone in the row.
    """

    epoch: int
    manager: ZoneShareManager
    next_plan_at: float = 0.0
    has_offer: bool = False

    @property
    def share(self) -> CustomerShare:
        """Token bucket of the customer."""
        return self.manager.share

    @property
    def stored(self) -> StoredShares | None:
        """Row of the customer, or None while a part of this zone is being given up."""
        if self.manager.has_pending_transfer:
            return None
        return StoredShares(self.manager.row, self.manager.version)
