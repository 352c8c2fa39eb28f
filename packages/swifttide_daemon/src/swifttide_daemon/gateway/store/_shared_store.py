"""The store that all hosts share, as the gateway uses it."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class RowKey:
    """Where a row lies.

    Parameters
    ----------
    table : str
    part : str
        Rows of one part change together in one transaction; may be empty.
    key : str
    """

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as read.

    Parameters
    ----------
    key : RowKey
    value : bytes or None
        None for a row that was removed, or whose bytes can't be read.
    version : int
        Grows with each transaction that writes the row.
    deleted : bool
        Whether the row was removed.
    """

    key: RowKey
    value: bytes | None
    version: int
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Condition:
    """The row must have this version; 0 means that it must not exist."""

    key: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write a row."""

    key: RowKey
    value: bytes


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that take effect together, if all conditions hold.

    Parameters
    ----------
    conditions : tuple of Condition
    puts : tuple of Put
    removes : tuple of RowKey
    """

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    removes: tuple[RowKey, ...] = ()


@dataclass(frozen=True, slots=True)
class Applied:
    """The transaction took effect.

    Parameters
    ----------
    version : int
        Version of the rows that were written.
    now_ms : int
        The store's steady clock.
    """

    version: int
    now_ms: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition failed and nothing changed; the rows as they are."""

    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store gave no usable answer.

    Parameters
    ----------
    detail : str
        For the log.
    may_have_applied : bool
        Whether a transaction may have taken effect, or may do so later.
    throttled : bool
        Whether the store is there and turned the call away as one too many; nothing
        was done.
    """

    detail: str
    may_have_applied: bool = False
    throttled: bool = False


@dataclass(frozen=True, slots=True)
class Rows:
    """Rows as of one moment.

    Parameters
    ----------
    rows : tuple of StoredRow
    version : int
    now_ms : int
        The store's steady clock.
    age_seconds : float
        Since the store said so, where another host passed them on.
    """

    rows: tuple[StoredRow, ...]
    version: int
    now_ms: int
    age_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The changes asked for are no longer known; the table must be read again."""


class SharedStore(Protocol):
    """Linearizable rows with conditional transactions."""

    async def commit(self, tx: Transaction) -> Applied | Conflict | Unavailable:
        """Apply a transaction."""

    async def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Rows | Unavailable:
        """Read the rows of a part, from ``start`` up to before ``end``."""

    async def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Rows | HistoryLost | Unavailable:
        """Return what changed after a version, waiting until something does."""

    def reconnect(self) -> None:
        """Make the next calls on new connections."""
