"""Following a table of the store."""

import asyncio
import random
from collections.abc import Callable

from swifttide_daemon.gateway._shared_store import (
    HistoryLost,
    Rows,
    SharedStore,
    StoredRow,
    Unavailable,
)
from swifttide_daemon.telemetry import EventLog

WAIT_SECONDS = 2.0
"""How long one question for changes waits. A store that has fallen silent is noticed
a second later; each question costs a call."""

MIN_PAUSE_SECONDS = 0.1
"""Pause after changes, so that a busy table costs ten calls a second at most."""

RETRY_SECONDS = (0.1, 0.3)
"""Pause after a failure, drawn anew each time so that hosts don't come at once."""


class TableWatch:
    """Reads the rows of a table's empty part, then what changes.

    Parameters
    ----------
    store : SharedStore
    table : str
    on_all : callable
        Takes all rows; those missing have been removed.
    on_change : callable
        Takes rows that were written or removed.
    on_state : callable
        Takes whether the store answered.
    log : EventLog
    """

    def __init__(
        self,
        store: SharedStore,
        table: str,
        on_all: Callable[[tuple[StoredRow, ...]], None],
        on_change: Callable[[tuple[StoredRow, ...]], None],
        on_state: Callable[[bool], None],
        log: EventLog,
    ):
        self._store = store
        self._table = table
        self._on_all = on_all
        self._on_change = on_change
        self._on_state = on_state
        self._log = log
        self._up = True

    async def run(self) -> None:
        """Follow the table until cancelled."""
        version = await self._read_all()
        while True:
            match await self._store.changes(self._table, version, WAIT_SECONDS):
                case Rows() as found:
                    self._note_state(True, "")
                    if found.rows:
                        self._on_change(found.rows)
                    version = found.version
                    await asyncio.sleep(MIN_PAUSE_SECONDS)
                case HistoryLost():
                    # Changes were missed, removals among them: read all again.
                    self._log.warning("store_history_lost", table=self._table)
                    version = await self._read_all()
                case Unavailable(detail):
                    self._note_state(False, detail)
                    await asyncio.sleep(random.uniform(*RETRY_SECONDS))

    async def _read_all(self) -> int:
        while True:
            match await self._store.read(self._table, ""):
                case Rows() as found:
                    self._note_state(True, "")
                    self._on_all(found.rows)
                    return found.version
                case Unavailable(detail):
                    self._note_state(False, detail)
                    await asyncio.sleep(random.uniform(*RETRY_SECONDS))

    def _note_state(self, up, detail):
        if up != self._up:
            self._up = up
            event = "store_regained" if up else "store_lost"
            self._log.warning(event, table=self._table, detail=detail)
        self._on_state(up)
