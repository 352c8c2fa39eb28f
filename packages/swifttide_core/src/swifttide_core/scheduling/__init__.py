"""Order in which programs and turns get the slots of targets, without I/O."""

from swifttide_core.scheduling._fair_shares import FairShares
from swifttide_core.scheduling._program_times import ProgramTimes
from swifttide_core.scheduling._rank_demand import RankDemand
from swifttide_core.scheduling._requests import (
    AdmissionGrant,
    AdmissionWithdrawn,
    Eligible,
    PlacementGrant,
    PlacementRequest,
    ProgramQueued,
    ProgramRequest,
    TurnId,
    TurnQueued,
    TurnResult,
)
from swifttide_core.scheduling._turn_scheduler import TurnScheduler
from swifttide_core.scheduling._wait_queue import Waiter, WaitQueue
from swifttide_core.scheduling._work_class import WorkClass

__all__ = [
    "AdmissionGrant",
    "AdmissionWithdrawn",
    "Eligible",
    "FairShares",
    "PlacementGrant",
    "PlacementRequest",
    "ProgramQueued",
    "ProgramRequest",
    "ProgramTimes",
    "RankDemand",
    "TurnId",
    "TurnQueued",
    "TurnResult",
    "TurnScheduler",
    "WaitQueue",
    "Waiter",
    "WorkClass",
]
