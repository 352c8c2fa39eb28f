"""Skips rows of the store that can't be used, and reports each of them once."""

import logging
from collections.abc import Callable, Iterable
from typing import Any

from swifttide_daemon.store._types import Row

log = logging.getLogger(__name__)

MAX_REMEMBERED_ROWS = 1_000
"""Upper limit of rows whose reason is remembered. Beyond it, the oldest one is reported
again."""

MAX_REASON_CHARACTERS = 300


class UnusableRows:
    """Rows that another writer put into a table and that can't be used.

    What such a row says must not reach the rows beside it, nor the thread that reads
    them.
    """

    def __init__(self) -> None:
        self._reasons: dict[tuple[str, str], str] = {}

    def decode(
        self, table: str, rows: Iterable[Row], decode: Callable[[Row], Any]
    ) -> list[Any]:
        """Return the decoded rows without those for which `decode` raises."""
        found = []
        for row in rows:
            try:
                found.append(decode(row))
            except Exception as exc:
                self.report(table, row.key, exc)
            else:
                self._reasons.pop((table, row.key), None)
        return found

    def report(self, table: str, key: str, exc: Exception) -> None:
        """Log why a row can't be used, unless that is known."""
        reason = f"{type(exc).__name__}: {exc}"[:MAX_REASON_CHARACTERS]
        reason = reason.encode(errors="backslashreplace").decode()
        if self._reasons.get((table, key)) == reason:
            return
        self._reasons[table, key] = reason
        if len(self._reasons) > MAX_REMEMBERED_ROWS:
            del self._reasons[next(iter(self._reasons))]
        log.warning(
            "a row can't be used",
            extra={"table": table, "row": key, "reason": reason},
        )
