"""An edit in the configuration's history."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ChangeRow:
    """One line of the history.

    Parameters
    ----------
    version : int
        Version that the edit made.
    kind, name : str
        What was edited.
    document : dict or None
        None where it was removed.
    operator : str
        First characters of the hash of the operator's key.
    """

    version: int
    kind: str
    name: str
    document: dict[str, Any] | None
    operator: str = ""
