"""Messages exchanged with the platform's table service."""

import uuid
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read from a table.

    Parameters
    ----------
    key : str
        Key within its table.
    version : int
        Version of the row, which increases with each write.
    value : dict
        Content of the row.
    """

    key: str
    version: int
    value: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Check:
    """A condition of a transaction: the row has this version.

    Version 0 requires that the row doesn't exist.
    """

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """A write of a transaction; a value of None deletes the row."""

    table: str
    key: str
    value: dict[str, Any] | None


def new_id() -> str:
    """Return a globally unique id."""
    return uuid.uuid4().hex


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that are committed atomically if all checks hold.

    Parameters
    ----------
    checks : tuple of Check
    writes : tuple of Write
    id : str
        Id that is the same in every retry. If the response to a transaction was lost,
        the platform answers its retry with the first outcome.
    """

    checks: tuple[Check, ...] = ()
    writes: tuple[Write, ...] = ()
    id: str = field(default_factory=new_id)


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was committed.

    Parameters
    ----------
    versions : tuple of int
        Versions of the written rows, in the order of the writes.
    """

    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """A check of the transaction failed, and nothing was written.

    Parameters
    ----------
    table, key : str
        Row of the failed check.
    version : int
        Current version of that row.
    """

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class PlatformError:
    """The platform gave no usable response.

    Parameters
    ----------
    detail : str
        Description of the failure, for logs.
    may_have_committed : bool
        Whether the transaction may have been committed nevertheless.
    """

    detail: str
    may_have_committed: bool = False
