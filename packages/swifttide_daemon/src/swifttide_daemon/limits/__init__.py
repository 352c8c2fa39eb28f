"""Rate limits of customers.

The holder of a customer's slot keeps a token bucket and lends batches of tokens to the
entry hosts that receive the requests. The rate is divided among zones; parts of it move
to the zones where requests arrive.
"""

from swifttide_daemon.limits._messages import (
    DrawAnswer,
    DrawRequest,
    HandoverRequest,
    ReturnRequest,
    YieldRequest,
)
from swifttide_daemon.limits._rate_limiter import RateLimiter
from swifttide_daemon.limits._share_loader import ShareLoader
from swifttide_daemon.limits._share_mover import ShareMover
from swifttide_daemon.limits._share_rows import ShareRows
from swifttide_daemon.limits._share_service import ShareService

__all__ = [
    "DrawAnswer",
    "DrawRequest",
    "HandoverRequest",
    "RateLimiter",
    "ReturnRequest",
    "ShareLoader",
    "ShareMover",
    "ShareRows",
    "ShareService",
    "YieldRequest",
]
