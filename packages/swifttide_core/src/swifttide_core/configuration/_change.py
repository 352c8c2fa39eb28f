"""One accepted edit of the configuration."""

from dataclasses import dataclass
from typing import Any

from swifttide_core.documents import DocumentKind


@dataclass(frozen=True, slots=True)
class Change:
    """An entry of the configuration log.

    Parameters
    ----------
    version : int
        Global version that the edit made; the log has no gaps.
    kind : DocumentKind
        Kind of the document.
    name : str
        Name of the document, unique within its kind.
    document : dict or None
        The document as JSON; None when it was removed.
    operator : str
        First characters of the hash of the operator's key.
    """

    version: int
    kind: DocumentKind
    name: str
    document: dict[str, Any] | None
    operator: str = ""
