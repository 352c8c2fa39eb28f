"""Order in which programs and turns get the places of targets, without I/O."""

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
from swifttide_core.scheduling._work_class import WorkClass

__all__ = [
    "AdmissionGrant",
    "AdmissionWithdrawn",
    "Eligible",
    "PlacementGrant",
    "PlacementRequest",
    "ProgramQueued",
    "ProgramRequest",
    "TurnId",
    "TurnQueued",
    "TurnResult",
    "WorkClass",
]
