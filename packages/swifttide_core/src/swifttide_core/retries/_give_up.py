"""Decision not to try again."""

from dataclasses import dataclass
from enum import StrEnum


class GiveUpCause(StrEnum):
    """Why a request isn't tried again."""

    ANSWERED = "answered"
    MAY_HAVE_RUN = "may_have_run"
    NOT_ENTRY_HOST = "not_entry_host"
    TRIES = "tries"
    DEADLINE = "deadline"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Give the caller the final answer now.

    Parameters
    ----------
    cause : GiveUpCause
        For the trace and the metrics.
    """

    cause: GiveUpCause
