"""Decides how long engines keep the prompt caches of paused and ended programs."""

from swifttide_core.retention._config import RetentionConfig, check_retention_config
from swifttide_core.retention._decide import decide_retention
from swifttide_core.retention._decision import Drop, Export, Keep, RetentionDecision
from swifttide_core.retention._pause_estimator import PauseEstimator
from swifttide_core.retention._paused_program import PausedProgram
from swifttide_core.retention._release_order import HeldCache, release_order

__all__ = [
    "Drop",
    "Export",
    "HeldCache",
    "Keep",
    "PauseEstimator",
    "PausedProgram",
    "RetentionConfig",
    "RetentionDecision",
    "check_retention_config",
    "decide_retention",
    "release_order",
]
