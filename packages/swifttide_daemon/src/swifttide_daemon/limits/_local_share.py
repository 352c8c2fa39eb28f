"""A customer's share as its holder keeps it."""

from dataclasses import dataclass

from swifttide_core.limits import CustomerShare, ZoneShareManager


@dataclass(slots=True)
class LocalShare:
    """Bucket and row, and when to look at them again.

    Parameters
    ----------
    epoch : int
        Epoch of the slot under which it was made.
    keeper : ZoneShareManager
    plan_at : float
        Monotonic seconds of the next thought about moving a part of it.
    offered : bool
        Whether another zone's holder has said that the row holds an offer.
    """

    epoch: int
    manager: ZoneShareManager
    next_plan_at: float = 0.0
    has_offer: bool = False

    @property
    def share(self) -> CustomerShare:
        """The bucket."""
        return self.manager.share
