"""Rate and burst of a customer, counted over all hosts together."""

from swifttide_core.limits._batch import Batch
from swifttide_core.limits._customer_share import BATCH_SECONDS, CustomerShare
from swifttide_core.limits._demand import Demand
from swifttide_core.limits._draw_failed import DrawFailed
from swifttide_core.limits._entry_allowance import EntryAllowance
from swifttide_core.limits._need_draw import NeedDraw
from swifttide_core.limits._pull import Pull
from swifttide_core.limits._rate_refused import RateRefused
from swifttide_core.limits._return_order import ReturnOrder
from swifttide_core.limits._share_keeper import ShareKeeper
from swifttide_core.limits._share_plan import GiveUp, Stay, plan_move
from swifttide_core.limits._share_state import Lent, ShareState
from swifttide_core.limits._taken import Taken
from swifttide_core.limits._token_bucket import TokenBucket
from swifttide_core.limits._zone_shares import (
    ZoneShares,
    check_zone_shares,
    served_zones,
    zone_order,
)

__all__ = [
    "BATCH_SECONDS",
    "Batch",
    "CustomerShare",
    "Demand",
    "DrawFailed",
    "EntryAllowance",
    "GiveUp",
    "Lent",
    "NeedDraw",
    "Pull",
    "RateRefused",
    "ReturnOrder",
    "ShareKeeper",
    "ShareState",
    "Stay",
    "Taken",
    "TokenBucket",
    "ZoneShares",
    "check_zone_shares",
    "plan_move",
    "served_zones",
    "zone_order",
]
