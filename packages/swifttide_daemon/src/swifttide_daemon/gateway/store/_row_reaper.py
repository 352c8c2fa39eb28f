"""Removes expired rows from the store.

Each program leaves an account and its turns in the store, where nothing expires on its
own. Without removal the store fills up, and reads of a part grow without limit.

Rows are removed well after their retention time. Each batch is one transaction within
one part, and batches are spaced in time, so that removal costs a small fraction of the
original writes. A row that another host has written since is left to that host, because
it may still be in use there: if an account were removed too early, its program could
spend its budget a second time.
"""

import asyncio
import heapq

from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Condition,
    Conflict,
    RowKey,
    SharedStore,
    Transaction,
)
from swifttide_daemon.telemetry import EventLog

REMOVAL_MARGIN_SECONDS = 60.0
"""Added to the retention time, because the clocks of callers and hosts may differ."""

BATCH_INTERVAL_SECONDS = 1.0
"""Time between batches."""

MAX_ROWS_PER_BATCH = 50
"""Upper limit of rows per transaction. Each row takes two entries, a condition and a
removal, and the store accepts a hundred entries."""

MAX_SCHEDULED_ROWS = 100_000
"""Upper limit of rows scheduled for removal, of about 200 bytes of memory each. Further
rows stay in the store."""


class RowReaper:
    """Schedules and removes rows that this host has written.

    Parameters
    ----------
    store : SharedStore
    log : EventLog
    """

    def __init__(self, store: SharedStore, log: EventLog):
        self._store = store
        self._log = log
        self._due: list[tuple[float, int, RowKey]] = []
        self._n_added = 0
        self._latest: dict[RowKey, tuple[float, int]] = {}

    def remove_after(self, key: RowKey, version: int, seconds: float) -> None:
        """Schedule the removal of a row, if it still has the given version by then.

        A later call for the same row replaces an earlier one.

        Parameters
        ----------
        key : RowKey
        version : int
        seconds : float
            Retention time from now. `REMOVAL_MARGIN_SECONDS` is added to it.
        """
        if len(self._latest) >= MAX_SCHEDULED_ROWS and key not in self._latest:
            self._log.warning("row_not_remembered", table=key.table)
            return
        due = asyncio.get_running_loop().time() + seconds + REMOVAL_MARGIN_SECONDS
        self._latest[key] = (due, version)
        self._n_added += 1
        heapq.heappush(self._due, (due, self._n_added, key))

    async def run(self) -> None:
        """Remove rows that are due, in batches, until cancelled."""
        while True:
            await asyncio.sleep(BATCH_INTERVAL_SECONDS)
            batch = self._next_batch()
            if batch:
                await self._remove(batch)

    def _next_batch(self) -> dict[RowKey, int]:
        """Return due rows of one part with their versions; empty if none is due."""
        now = asyncio.get_running_loop().time()
        batch: dict[RowKey, int] = {}
        others = []
        while self._due and self._due[0][0] <= now and len(batch) < MAX_ROWS_PER_BATCH:
            item = heapq.heappop(self._due)
            due, _, key = item
            latest, version = self._latest.get(key, (None, 0))
            if latest != due:
                continue
            part = next(iter(batch), key)
            if (key.table, key.part) == (part.table, part.part):
                batch[key] = version
                del self._latest[key]
            else:
                others.append(item)
            if len(others) > MAX_ROWS_PER_BATCH:
                break
        for item in others:
            heapq.heappush(self._due, item)
        return batch

    async def _remove(self, batch):
        """Remove rows in one transaction.

        After a conflict, rows that have changed are left alone, and the others are
        scheduled again.
        """
        tx = Transaction(
            conditions=tuple(Condition(k, v) for k, v in batch.items()),
            removes=tuple(batch),
        )
        match await self._store.commit(tx):
            case Applied():
                self._log.debug("rows_removed", count=len(batch))
            case Conflict(rows):
                current = {row.key: row.version for row in rows}
                for key, version in batch.items():
                    if current.get(key, version) == version:
                        self.remove_after(key, version, -REMOVAL_MARGIN_SECONDS)
            case _:
                for key, version in batch.items():
                    self.remove_after(key, version, 0.0)
