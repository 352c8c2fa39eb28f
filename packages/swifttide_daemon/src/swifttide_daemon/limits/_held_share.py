"""A customer's share as its holder keeps it."""

from dataclasses import dataclass

from swifttide_core.limits import CustomerShare, ZoneShares
from swifttide_daemon.limits._share_rows import StoredShares


@dataclass(slots=True)
class HeldShare:
    """Bucket, the row that it rests on, and a move under way.

    Parameters
    ----------
    epoch : int
        Epoch of the slot under which it was made.
    share : CustomerShare
    stored : StoredShares
        The division among zones as last read.
    giving : ZoneShares or None
        Division that is written once the bucket has stopped using what it gives.
    looked_at : float
        Monotonic seconds of the last look at the row.
    short : bool
        Whether the bucket has asked other zones since: there may be an offer.
    """

    epoch: int
    share: CustomerShare
    stored: StoredShares
    giving: ZoneShares | None = None
    looked_at: float = 0.0
    short: bool = False
