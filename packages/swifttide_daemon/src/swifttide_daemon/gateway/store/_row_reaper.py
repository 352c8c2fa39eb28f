"""Removing rows that nobody needs any longer.

Load pattern: each program leaves an account and its turns in the store, where nothing
expires on its own.

Without it: the store fills up, and reads of a part grow without end.

Grounds: rows are removed well after the time for which they are kept, in batches of one
part, a few a second, so that removing costs a small part of what writing them did. A
row that another host has written since is left to that host: it may still be in use
there, and an account that is removed too soon would let its program spend its budget
again.
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
"""Beyond the time for which a row is kept: callers' and hosts' clocks may differ."""

BATCH_INTERVAL_SECONDS = 1.0
"""Between batches."""

MAX_ROWS_PER_BATCH = 50
"""Rows of one transaction; the store takes a hundred entries."""

MAX_SCHEDULED_ROWS = 100_000
"""Rows remembered, some 200 bytes each; what is beyond stays in the store."""


class RowReaper:
    """Removes rows that this host wrote.

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
        """Remove a row in some time, if it still has this version then.

        A later call for the same row replaces an earlier one.
        """
        if len(self._latest) >= MAX_SCHEDULED_ROWS and key not in self._latest:
            self._log.warning("row_not_remembered", table=key.table)
            return
        due = asyncio.get_running_loop().time() + seconds + REMOVAL_MARGIN_SECONDS
        self._latest[key] = (due, version)
        self._n_added += 1
        heapq.heappush(self._due, (due, self._n_added, key))

    async def run(self) -> None:
        """Remove what is due until cancelled."""
        while True:
            await asyncio.sleep(BATCH_INTERVAL_SECONDS)
            batch = self._next_batch()
            if batch:
                await self._remove(batch)

    def _next_batch(self) -> dict[RowKey, int]:
        """Return rows of one part that are due, with their versions."""
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
        """Remove rows together; those that changed are left, the rest tried again."""
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
