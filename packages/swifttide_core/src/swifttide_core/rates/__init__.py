"""Rates of customers, gathered from the shares that hosts hold."""

from swifttide_core.rates._handful import Handful
from swifttide_core.rates._keeper_order import keeper_order
from swifttide_core.rates._local_share import LocalShare
from swifttide_core.rates._program_load import ProgramLoad
from swifttide_core.rates._program_sizes import ProgramSizes
from swifttide_core.rates._rate_pool import FILLER_SECONDS, Asker, RatePool
from swifttide_core.rates._standing import Granted, Queued, Short, Standing

__all__ = [
    "FILLER_SECONDS",
    "Asker",
    "Granted",
    "Handful",
    "LocalShare",
    "ProgramLoad",
    "ProgramSizes",
    "Queued",
    "RatePool",
    "Short",
    "Standing",
    "keeper_order",
]
