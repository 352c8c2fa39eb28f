"""Decision not to retry a request."""

from dataclasses import dataclass
from enum import StrEnum


class GiveUpCause(StrEnum):
    """Why a request is not retried."""

    ANSWERED = "answered"
    MAY_HAVE_RUN = "may_have_run"
    NOT_ENTRY_HOST = "not_entry_host"
    TRIES = "tries"
    DEADLINE = "deadline"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True)
class GiveUp:
    """The caller gets the final answer without a retry.

    Parameters
    ----------
    cause : GiveUpCause
        Cause for the trace and the metrics.
    """

    cause: GiveUpCause
