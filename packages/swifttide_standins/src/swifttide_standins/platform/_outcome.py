"""What became of a transaction."""

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Conflict:
    """A check that didn't hold, with what the row is now.

    Parameters
    ----------
    table, key : str
        The row.
    version : int
        Its version; 0 when absent.
    value : dict or None
        Its value.
    """

    table: str
    key: str
    version: int
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Outcome:
    """First and only outcome of a transaction id.

    Parameters
    ----------
    committed : bool
        Whether the writes took effect.
    versions : tuple of int
        New version for each write.
    conflicts : tuple of Conflict
        Why it didn't commit.
    """

    committed: bool
    versions: tuple[int, ...] = ()
    conflicts: tuple[Conflict, ...] = ()
