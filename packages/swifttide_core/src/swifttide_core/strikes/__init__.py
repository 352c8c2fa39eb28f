"""Detection and refusal of requests that crash targets."""

from swifttide_core.strikes._crash_classifier import CrashClassifier
from swifttide_core.strikes._fingerprint import fingerprint_of
from swifttide_core.strikes._strike import Strike
from swifttide_core.strikes._strike_status import Clear, Refused, Suspect
from swifttide_core.strikes._strike_tracker import (
    REFUSAL_SECONDS,
    StrikeRecord,
    StrikeTracker,
)

__all__ = [
    "REFUSAL_SECONDS",
    "Clear",
    "CrashClassifier",
    "Refused",
    "Strike",
    "StrikeRecord",
    "StrikeTracker",
    "Suspect",
    "fingerprint_of",
]
