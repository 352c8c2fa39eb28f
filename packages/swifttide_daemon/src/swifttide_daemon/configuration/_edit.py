"""Outcomes of an operator's edit of a configuration document."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Accepted:
    """The edit is committed to the platform's store.

    Parameters
    ----------
    version : int
        Version of the configuration that the edit made.
    """

    version: int


@dataclass(frozen=True, slots=True)
class OutdatedVersion:
    """The edit was rejected because the document has changed since it was read.

    Parameters
    ----------
    current_version : int
        Version of the document's last edit; 0 if it has never been edited.
    current_document : dict or None
        Current content, shown to the operator; None if there is no document.
    """

    current_version: int
    current_document: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """The edit failed, or it isn't known whether it was committed.

    Parameters
    ----------
    may_have_committed : bool
        Whether the edit may have been committed. The history of edits shows it once
        the platform is available again.
    """

    may_have_committed: bool


EditOutcome = Accepted | OutdatedVersion | UnknownOutcome
