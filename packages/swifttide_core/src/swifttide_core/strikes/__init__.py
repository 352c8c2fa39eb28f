"""Requests that crash targets."""

from swifttide_core.strikes._crash_watch import CrashWatch
from swifttide_core.strikes._fingerprint import fingerprint_of
from swifttide_core.strikes._standing import Clear, Refused, Suspect
from swifttide_core.strikes._strike import Strike
from swifttide_core.strikes._strike_book import (
    REFUSE_SECONDS,
    StrikeBook,
    StrikeRecord,
)

__all__ = [
    "REFUSE_SECONDS",
    "Clear",
    "CrashWatch",
    "Refused",
    "Strike",
    "StrikeBook",
    "StrikeRecord",
    "Suspect",
    "fingerprint_of",
]
