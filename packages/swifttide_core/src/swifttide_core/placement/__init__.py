"""Placement of turns at the targets that are predicted to complete them first."""

from swifttide_core.placement._choose_by_completion import Choice, choose_by_completion
from swifttide_core.placement._observation import SpeedEstimate, TurnObservation
from swifttide_core.placement._prediction import (
    PlacementCandidate,
    Prediction,
    TargetLoad,
    TurnDemand,
    predict,
)
from swifttide_core.placement._target_speeds import SHARED_KEY, TargetSpeeds

__all__ = [
    "SHARED_KEY",
    "Choice",
    "PlacementCandidate",
    "Prediction",
    "SpeedEstimate",
    "TargetLoad",
    "TargetSpeeds",
    "TurnDemand",
    "TurnObservation",
    "choose_by_completion",
    "predict",
]
