"""Interface of the store that all hosts share: rows, transactions and results."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class RowKey:
    """Address of a row.

    Parameters
    ----------
    table : str
    part : str
        Partition of the table; may be empty. Rows of one part can be changed together
        in one transaction.
    key : str
    """

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """Row as read from the store.

    Parameters
    ----------
    key : RowKey
    value : bytes or None
        None for a row that was removed, or whose bytes are unreadable.
    version : int
        Increases with each transaction that writes the row.
    deleted : bool
        Whether the row was removed.
    """

    key: RowKey
    value: bytes | None
    version: int
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class Condition:
    """Condition that a row has a version; version 0 requires that it does not exist."""

    key: RowKey
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of a row."""

    key: RowKey
    value: bytes


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are applied atomically if all conditions hold.

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
        Time of the store's monotonic clock, in milliseconds.
    """

    version: int
    now_ms: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """A condition failed and nothing was changed; the rows are the current ones."""

    rows: tuple[StoredRow, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store gave no usable answer.

    Parameters
    ----------
    detail : str
        Cause, for the log.
    may_have_applied : bool
        Whether a transaction may have taken effect, or may do so later.
    throttled : bool
        Whether the store is available but rejected the call because of its rate limit.
        Nothing was done.
    """

    detail: str
    may_have_applied: bool = False
    throttled: bool = False


@dataclass(frozen=True, slots=True)
class Rows:
    """Consistent snapshot of rows.

    Parameters
    ----------
    rows : tuple of StoredRow
    version : int
        Version of the store as of the snapshot.
    now_ms : int
        Time of the store's monotonic clock, in milliseconds.
    age_seconds : float
        Time since the store gave the answer, if another host forwarded it.
    """

    rows: tuple[StoredRow, ...]
    version: int
    now_ms: int
    age_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The requested changes are no longer retained; the table must be read again."""


class SharedStore(Protocol):
    """Linearizable row store with conditional transactions."""

    async def commit(self, tx: Transaction) -> Applied | Conflict | Unavailable:
        """Apply a transaction."""

    async def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Rows | Unavailable:
        """Read the rows of a part, from ``start`` up to before ``end``."""

    async def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Rows | HistoryLost | Unavailable:
        """Return what changed after a version; wait for a change if there is none."""

    def reconnect(self) -> None:
        """Open new connections for the next calls."""
