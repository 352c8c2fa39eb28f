"""Outcomes of an operator's edit."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Accepted:
    """The edit is in the platform's table under this version."""

    version: int


@dataclass(frozen=True, slots=True)
class OutdatedVersion:
    """Another edit came first; what stands now is shown to the loser."""

    current_version: int
    current_document: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """The platform didn't answer.

    Parameters
    ----------
    may_have_committed : bool
        Whether the edit may be in force; the history tells once the platform is back.
    """

    may_have_committed: bool


EditOutcome = Accepted | OutdatedVersion | UnknownOutcome
