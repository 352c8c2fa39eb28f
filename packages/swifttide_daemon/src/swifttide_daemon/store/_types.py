"""Messages to and from the platform's table service."""

import uuid
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Row:
    """A row as read.

    Parameters
    ----------
    key : str
        Key within its table.
    version : int
        Grows with each write of the row.
    value : dict
        Content.
    """

    key: str
    version: int
    value: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Check:
    """A condition of a transaction: the row still has this version (0: absent)."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """A write of a transaction; None deletes."""

    table: str
    key: str
    value: dict[str, Any] | None


def new_id() -> str:
    """Return an id that no other process makes."""
    return uuid.uuid4().hex


@dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together, if all checks hold.

    Parameters
    ----------
    checks : tuple of Check
    writes : tuple of Write
    id : str
        Sent again with every retry, so that the platform answers a transaction whose
        first answer was lost with that first outcome.
    """

    checks: tuple[Check, ...] = ()
    writes: tuple[Write, ...] = ()
    id: str = field(default_factory=new_id)


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect; versions of the rows written, in order."""

    versions: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """A check failed; nothing was written."""

    table: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class PlatformError:
    """The platform gave no usable answer.

    Parameters
    ----------
    detail : str
        For the log.
    may_have_committed : bool
        Whether a transaction may have taken effect all the same.
    """

    detail: str
    may_have_committed: bool = False
