"""Tables and objects behind one lock."""

import threading
from collections import OrderedDict

from swifttide_standins.platform._outcome import Conflict, Outcome
from swifttide_standins.platform._row import Row
from swifttide_standins.platform._table import Table
from swifttide_standins.platform._transaction import Check, Transaction, Write

_NO_ROWS = Table()
MAX_OUTCOMES = 200_000
"""Outcomes kept for repeated ids: a long run must not grow without bound."""


class Store:
    """Transactional tables and write-once objects.

    Notes
    -----
    Versions come from one counter of the whole store, so a row's version also
    grows across a delete and a new insert.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._tables: dict[str, Table] = {}
        self._objects: dict[str, bytes] = {}
        self._outcomes: OrderedDict[str, Outcome] = OrderedDict()
        self._revision = 0

    def get(self, table: str, key: str) -> Row | None:
        """Return a row or None."""
        with self._lock:
            return self._table(table).get(key)

    def scan(self, table: str, prefix: str, after: str, limit: int) -> list[Row]:
        """Return rows in key order, see `Table.scan`."""
        with self._lock:
            return self._table(table).scan(prefix, after, limit)

    def commit(self, txn: Transaction) -> Outcome:
        """Apply a transaction once; the same id again returns the first outcome."""
        with self._lock:
            outcome = self._outcomes.get(txn.id)
            if outcome is None:
                outcome = self._apply(txn)
                self._remember(txn.id, outcome)
            return outcome

    def outcome(self, txn_id: str) -> Outcome | None:
        """Return what became of a transaction, None when it never arrived."""
        with self._lock:
            return self._outcomes.get(txn_id)

    def put_object(self, name: str, body: bytes) -> bool | None:
        """Store an object; True when new, False when the same, None on conflict."""
        with self._lock:
            known = self._objects.get(name)
            if known is None:
                self._objects[name] = body
                return True
            return False if known == body else None

    def get_object(self, name: str) -> bytes | None:
        """Return an object's bytes or None."""
        with self._lock:
            return self._objects.get(name)

    def delete_object(self, name: str) -> None:
        """Delete an object if it is there."""
        with self._lock:
            self._objects.pop(name, None)

    def snapshot(self, prefix: str) -> dict[str, Table]:
        """Return copies of the tables whose names start with `prefix`."""
        with self._lock:
            tables = self._tables.items()
            return {n: t.copy() for n, t in tables if n.startswith(prefix)}

    def sizes(self) -> dict[str, int]:
        """Return rows by table, and the bytes of all objects."""
        with self._lock:
            sizes = {name: len(table) for name, table in self._tables.items()}
            sizes["objects_bytes"] = sum(map(len, self._objects.values()))
            return sizes

    def _table(self, name: str) -> Table:
        return self._tables.get(name, _NO_ROWS)

    def _apply(self, txn: Transaction) -> Outcome:
        conflicts = [c for c in map(self._conflict, txn.checks) if c is not None]
        if conflicts:
            return Outcome(committed=False, conflicts=tuple(conflicts))
        versions = tuple(self._write(write) for write in txn.writes)
        return Outcome(committed=True, versions=versions)

    def _conflict(self, check: Check) -> Conflict | None:
        row = self._table(check.table).get(check.key)
        version = 0 if row is None else row.version
        if version == check.version:
            return None
        value = None if row is None else row.value
        return Conflict(check.table, check.key, version, value)

    def _write(self, write: Write) -> int:
        self._revision += 1
        table = self._tables.setdefault(write.table, Table())
        if write.value is None:
            table.delete(write.key)
        else:
            table.put(Row(write.key, self._revision, write.value))
        return self._revision

    def _remember(self, txn_id: str, outcome: Outcome) -> None:
        self._outcomes[txn_id] = outcome
        if len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)
