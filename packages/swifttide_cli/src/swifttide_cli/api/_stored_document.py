"""A document as the platform keeps it."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class StoredDocument:
    """A document with its version.

    Parameters
    ----------
    name : str
        Name within its kind.
    version : int
        Version of the configuration that the last edit made; the base of the next.
    document : dict
        Its members.
    """

    name: str
    version: int
    document: dict[str, Any]
