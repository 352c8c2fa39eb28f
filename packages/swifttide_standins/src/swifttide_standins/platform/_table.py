"""One table, in key order."""

from sortedcontainers import SortedDict

from swifttide_standins.platform._row import Row


class Table:
    """Rows by key; the store's lock guards every call."""

    def __init__(self, rows: SortedDict | None = None) -> None:
        self._rows = SortedDict() if rows is None else rows

    def get(self, key: str) -> Row | None:
        """Return a row or None."""
        return self._rows.get(key)

    def put(self, row: Row) -> None:
        """Insert or replace a row."""
        self._rows[row.key] = row

    def delete(self, key: str) -> None:
        """Delete a row if it is there."""
        self._rows.pop(key, None)

    def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to `limit` rows with `prefix` and key > `after`, in order."""
        rows = []
        for key in self._rows.irange(max(prefix, after)):
            if not key.startswith(prefix):
                break
            if key > after:
                rows.append(self._rows[key])
            if len(rows) == limit:
                break
        return rows

    def copy(self) -> "Table":
        """Return a table that later writes don't change; rows are immutable."""
        return Table(self._rows.copy())

    def __len__(self) -> int:
        return len(self._rows)
