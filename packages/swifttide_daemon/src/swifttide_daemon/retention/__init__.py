"""Release and export of engine cache held by ended, idle and paused programs."""

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
