"""Distributed rate limiting of customers.

Each of some hosts refills a share of a customer's rate and forwards the tokens that it
does not need to the one host that owns the customer's token pool.
"""

from swifttide_core.rates._active_programs import ActivePrograms
from swifttide_core.rates._local_share import LocalShare
from swifttide_core.rates._owner_ranking import rank_owners
from swifttide_core.rates._program_size_estimates import ProgramSizeEstimates
from swifttide_core.rates._rate_pool import (
    CONTRIBUTOR_TIMEOUT_SECONDS,
    RatePool,
    RequestKey,
)
from swifttide_core.rates._token_decision import Denied, Granted, Queued, TokenDecision
from swifttide_core.rates._token_transfer import TokenTransfer

__all__ = [
    "CONTRIBUTOR_TIMEOUT_SECONDS",
    "RequestKey",
    "Granted",
    "TokenTransfer",
    "LocalShare",
    "ActivePrograms",
    "ProgramSizeEstimates",
    "Queued",
    "RatePool",
    "Denied",
    "TokenDecision",
    "rank_owners",
]
