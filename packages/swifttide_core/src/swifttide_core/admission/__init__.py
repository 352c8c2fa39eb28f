"""Admission control of calls and programs at targets.

A program is a conversation or agent run of several turns; each turn is a call to a
target. The package decides at one host whether a new program may start, how many
requests per second a target may get, how many calls run at a target at once, and in
which order the others wait. `swifttide_core.scheduling` decides for all hosts together.
"""

from swifttide_core.admission._call_cost import call_cost
from swifttide_core.admission._concurrency_limit import ConcurrencyLimit
from swifttide_core.admission._config import AdmissionConfig, check_admission_config
from swifttide_core.admission._decision import Admitted, Decision, Queued, Refused
from swifttide_core.admission._drain_rate import DrainRate
from swifttide_core.admission._fair_queue import FairQueue
from swifttide_core.admission._load_report import LoadReport
from swifttide_core.admission._outcome import Outcome, OutcomeStatus
from swifttide_core.admission._profile_estimates import ProfileEstimates
from swifttide_core.admission._program_gate import (
    ProgramAdmitted,
    ProgramGate,
    ProgramRefused,
)
from swifttide_core.admission._snapshot import QueueSnapshot
from swifttide_core.admission._target_queue import TargetQueue
from swifttide_core.admission._target_rate_limiter import (
    ColdTargetLimits,
    PlacementDeferred,
    ReadyTargets,
    SchedulerStanding,
    TargetRateLimiter,
)
from swifttide_core.admission._ticket import Ticket, check_ticket
from swifttide_core.admission._working_set import WorkingSet

__all__ = [
    "AdmissionConfig",
    "Admitted",
    "ColdTargetLimits",
    "ConcurrencyLimit",
    "Decision",
    "DrainRate",
    "FairQueue",
    "LoadReport",
    "Outcome",
    "OutcomeStatus",
    "PlacementDeferred",
    "ProfileEstimates",
    "ProgramAdmitted",
    "ProgramGate",
    "ProgramRefused",
    "QueueSnapshot",
    "Queued",
    "ReadyTargets",
    "Refused",
    "SchedulerStanding",
    "TargetQueue",
    "TargetRateLimiter",
    "Ticket",
    "WorkingSet",
    "call_cost",
    "check_admission_config",
    "check_ticket",
]
