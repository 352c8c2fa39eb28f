"""Rate limits per customer, enforced over all hosts together."""

from swifttide_core.limits._batch import Batch
from swifttide_core.limits._customer_share import MAX_BATCH_TTL_SECONDS, CustomerShare
from swifttide_core.limits._demand import SmoothedDemand
from swifttide_core.limits._draw_failed import DrawFailed
from swifttide_core.limits._draw_order import DrawOrder
from swifttide_core.limits._entry_rate_limiter import EntryRateLimiter
from swifttide_core.limits._pull import Pull
from swifttide_core.limits._rate_admitted import RateAdmitted
from swifttide_core.limits._rate_refused import RateRefused
from swifttide_core.limits._return_order import ReturnOrder
from swifttide_core.limits._share_state import LentBatch, ShareState
from swifttide_core.limits._share_transfer import (
    NoTransfer,
    TransferShare,
    plan_transfer,
)
from swifttide_core.limits._token_bucket import TokenBucket
from swifttide_core.limits._zone_share_manager import ZoneShareManager
from swifttide_core.limits._zone_shares import (
    ZoneShares,
    check_zone_shares,
    draw_zone_order,
    zones_with_share,
)

__all__ = [
    "MAX_BATCH_TTL_SECONDS",
    "Batch",
    "CustomerShare",
    "DrawFailed",
    "DrawOrder",
    "EntryRateLimiter",
    "LentBatch",
    "NoTransfer",
    "Pull",
    "RateAdmitted",
    "RateRefused",
    "ReturnOrder",
    "ShareState",
    "SmoothedDemand",
    "TokenBucket",
    "TransferShare",
    "ZoneShareManager",
    "ZoneShares",
    "check_zone_shares",
    "draw_zone_order",
    "plan_transfer",
    "zones_with_share",
]
