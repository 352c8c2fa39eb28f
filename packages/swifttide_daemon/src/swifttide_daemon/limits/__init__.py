"""Rate and burst of customers: holders' buckets and entry hosts' tokens."""

from swifttide_daemon.limits._messages import (
    DrawAnswer,
    DrawRequest,
    HandoverRequest,
    ReturnRequest,
    YieldRequest,
)
from swifttide_daemon.limits._rate_limiter import RateLimiter
from swifttide_daemon.limits._share_mover import ShareMover
from swifttide_daemon.limits._share_rows import ShareRows
from swifttide_daemon.limits._share_service import ShareService

__all__ = [
    "DrawAnswer",
    "DrawRequest",
    "HandoverRequest",
    "RateLimiter",
    "ReturnRequest",
    "ShareMover",
    "ShareRows",
    "ShareService",
    "YieldRequest",
]
