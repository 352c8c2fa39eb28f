"""Entry of the configuration log: one accepted edit of a document."""

from dataclasses import dataclass
from typing import Any

from swifttide_core.documents import DocumentKind


@dataclass(frozen=True, slots=True)
class Change:
    """An entry of the configuration log.

    Parameters
    ----------
    version : int
        Version of the configuration that the edit created. Versions are global and
        consecutive.
    kind : DocumentKind
        Kind of the document.
    name : str
        Name of the document, unique within its kind.
    document : dict or None
        The document as decoded JSON; None if it was removed.
    operator : str
        First characters of the hash of the key of the operator who made the edit.
    """

    version: int
    kind: DocumentKind
    name: str
    document: dict[str, Any] | None
    operator: str = ""
