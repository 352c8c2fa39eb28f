"""Engine memory: what programs that are gone or pause still hold."""

from swifttide_daemon.retention._cache_keeper import CacheReconciler
from swifttide_daemon.retention._messages import (
    ExportedCache,
    Judgement,
    Judgements,
    ListedPrograms,
)
from swifttide_daemon.retention._program_judge import ProgramJudge

__all__ = [
    "CacheReconciler",
    "ExportedCache",
    "Judgement",
    "Judgements",
    "ListedPrograms",
    "ProgramJudge",
]
