"""A transaction as the wire carries it."""

from dataclasses import dataclass
from typing import Annotated, Any

from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=1024)]
Version = Annotated[int, Meta(ge=0)]


@dataclass(frozen=True, slots=True)
class Check:
    """A row that must still have a version; 0 means that it must be absent."""

    table: Name
    key: Name
    version: Version


@dataclass(frozen=True, slots=True)
class Write:
    """A row's new value; None deletes it."""

    table: Name
    key: Name
    value: dict[str, Any] | None


@dataclass(frozen=True, slots=True)
class Transaction:
    """Checks and writes that take effect together or not at all.

    Parameters
    ----------
    id : str
        Names the transaction, so that a lost answer can be settled by asking again.
    checks : tuple of Check
        All must hold.
    writes : tuple of Write
        At most one a row.
    """

    id: Name
    checks: tuple[Check, ...] = ()
    writes: tuple[Write, ...] = ()
