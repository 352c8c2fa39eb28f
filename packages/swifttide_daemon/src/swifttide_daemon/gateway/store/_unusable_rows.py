"""Skips rows of the store that can't be used, and reports each of them once."""

from collections.abc import Iterator
from contextlib import contextmanager

from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.store._shared_store import RowKey, StoredRow
from swifttide_daemon.telemetry import EventLog

MAX_REMEMBERED_ROWS = 1_000
"""Upper limit of rows whose reason is remembered, of about 300 bytes each. Beyond it,
the oldest one is reported again with its next write."""

MAX_REASON_CHARACTERS = 300


class UnusableRows:
    """Rows that another writer put into a table and that can't be used.

    Any process of the platform may write to the tables that a host follows. What such a
    row says must not reach the rows beside it, nor the task that reads them.

    Parameters
    ----------
    log : EventLog
    metrics : GatewayMetrics
    """

    def __init__(self, log: EventLog, metrics: GatewayMetrics):
        self._log = log
        self._metrics = metrics
        self._reasons: dict[RowKey, str] = {}

    @contextmanager
    def skip(self, row: StoredRow) -> Iterator[None]:
        """Run a block that applies one row; log and count its failure.

        A row that is written again with the same fault isn't reported again.
        """
        try:
            yield
        except ValueError as exc:
            if self._is_news(row, str(exc)):
                self._report(row, str(exc))
        except Exception as exc:
            if self._is_news(row, repr(exc)):
                self._log.error("row_failed", exc, **_place(row))
                self._report(row, type(exc).__name__)
        else:
            self._reasons.pop(row.key, None)

    def _is_news(self, row, reason) -> bool:
        if self._reasons.get(row.key) == reason:
            return False
        self._reasons[row.key] = reason
        if len(self._reasons) > MAX_REMEMBERED_ROWS:
            del self._reasons[next(iter(self._reasons))]
        return True

    def _report(self, row, reason):
        log_unusable_row(self._log, row, reason)
        self._metrics.row_unusable(row.key.table)


def log_unusable_row(log: EventLog, row: StoredRow, reason: str) -> None:
    """Log that a row can't be used, and why."""
    reason = reason[:MAX_REASON_CHARACTERS]
    log.warning("row_unusable", **_place(row), reason=reason)


def _place(row):
    # A field named "key" would be masked in the log.
    return {"table": row.key.table, "row": row.key.key, "version": row.version}
