"""Following a table of the store."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from swifttide_daemon.gateway.store._shared_store import (
    HistoryLost,
    Rows,
    SharedStore,
    StoredRow,
    Unavailable,
)
from swifttide_daemon.telemetry import EventLog

LONG_POLL_SECONDS = 2.0
"""How long one question for changes waits. A store that has fallen silent is noticed
a second later; each question costs a call."""

POLL_PAUSE_SECONDS = 0.1
"""Pause after changes of a table that seldom changes."""

BUSY_TABLE_POLL_PAUSE_SECONDS = 0.8
"""Pause for a table in which rows are renewed all the time: what it brings may be known
2 s late, a slow store takes 0.3 s, and other hosts' beacons tell sooner when there is
something new. With 0.1 s, 69 hosts made 21,800 calls in half a minute."""

STALE_POLL_SECONDS = 0.4
"""An answer this old may lie on a silent connection, when others know more by now;
beacons and the store's own way take less."""

MAX_FORWARDED_AGE_SECONDS = 3.5
"""What is passed on to other hosts is no older: a question's whole wait, a pause and
the store's own time."""

MAX_REMEMBERED_REMOVALS = 500
"""Rows remembered as removed for hosts that ask what changed, some 200 bytes each."""

RETRY_DELAY_RANGE_SECONDS = (0.1, 0.3)
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
        Takes rows that were written or removed; returns the version of the newest one
        that was news to this host, 0 if none was.
    on_state : callable
        Takes whether the store answered.
    find_copy : callable
        Returns the rows that another host knows, or None.
    log : EventLog
    pause_seconds : float
        Between questions for changes, while there are some.

    Attributes
    ----------
    newest_change : int
        Version of the newest row that was news to this host.
    """

    def __init__(
        self,
        store: SharedStore,
        table: str,
        on_all: Callable[[tuple[StoredRow, ...]], None],
        on_change: Callable[[tuple[StoredRow, ...]], int],
        on_state: Callable[[bool], None],
        find_copy: Callable[[str], Awaitable[Rows | None]],
        log: EventLog,
        pause_seconds: float = POLL_PAUSE_SECONDS,
    ):
        self._store = store
        self._table = table
        self._on_all = on_all
        self._on_change = on_change
        self._on_state = on_state
        self._find_copy = find_copy
        self._log = log
        self._up = True
        self._rows: dict[str, StoredRow] | None = None
        self._version = 0
        self._answered_at = float("-inf")
        self._peer_ahead = asyncio.Event()
        self._pause_seconds = pause_seconds
        self._is_pausing = False
        self._current_as_of = float("-inf")
        self._removed: dict[str, StoredRow] = {}
        self._complete_from = 0
        self._change_event = asyncio.Event()
        self.newest_change = 0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        await self._read_all()
        was_behind = False
        while True:
            # After a failure, ask for an answer at once: it tells that the store is
            # back, which a question that waits would only tell when it ends.
            wait = LONG_POLL_SECONDS if self._up and not was_behind else 0.0
            outcome = await self._poll_changes(wait)
            was_behind = outcome is None
            match outcome:
                case None:
                    continue
                case Rows() as found:
                    self._report_state(True, "")
                    self._apply_changes(found)
                    await self._pause()
                case HistoryLost():
                    # Changes were missed, removals among them: read all again.
                    self._log.warning("store_history_lost", table=self._table)
                    await self._read_all()
                case Unavailable(detail):
                    self._report_state(False, detail)
                    await asyncio.sleep(random.uniform(*RETRY_DELAY_RANGE_SECONDS))

    def on_peer_change(self, change: int) -> None:
        """Note that another host knows a change.

        A connection can go silent without a reset. The question that waits on it for
        changes would tell so only when its time is over, and this host would act on
        an old configuration until then.
        """
        if change <= self._version:
            return
        now = asyncio.get_running_loop().time()
        if self._is_pausing or now - self._answered_at > STALE_POLL_SECONDS:
            self._peer_ahead.set()

    async def _pause(self):
        """Let changes gather, unless another host knows one that was news to it."""
        self._peer_ahead.clear()
        self._is_pausing = True
        try:
            async with asyncio.timeout(self._pause_seconds):
                await self._peer_ahead.wait()
        except TimeoutError:
            pass
        finally:
            self._is_pausing = False

    async def _poll_changes(self, wait) -> Rows | HistoryLost | Unavailable | None:
        """Ask for changes; None when another host was heard to know more."""
        if not wait:
            # The answer comes at once, or has begun to: a large one takes longer than
            # the pause between beacons, and given up each time it would never arrive.
            found = await self._store.changes(self._table, self._version, wait)
            self._answered_at = asyncio.get_running_loop().time()
            return found
        self._peer_ahead.clear()
        asking = asyncio.ensure_future(
            self._store.changes(self._table, self._version, wait)
        )
        behind = asyncio.ensure_future(self._peer_ahead.wait())
        try:
            await asyncio.wait((asking, behind), return_when=asyncio.FIRST_COMPLETED)
            if asking.done():
                self._answered_at = asyncio.get_running_loop().time()
                return asking.result()
            self._log.warning("behind_other_hosts", table=self._table)
            self._store.reconnect()
            self._answered_at = asyncio.get_running_loop().time()
            return None
        finally:
            asking.cancel()
            behind.cancel()

    def copy(self) -> Rows | None:
        """Return the rows as this host knows them, None before it knows any."""
        if self._rows is None:
            return None
        return Rows(tuple(self._rows.values()), self._version, 0)

    async def changes_after(
        self, after: int, wait_seconds: float
    ) -> Rows | HistoryLost | Unavailable:
        """Return what changed after a version, for another host.

        Waits until there are news; renewals alone are told when the wait is over.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_seconds
        while self.newest_change <= after and loop.time() < until:
            try:
                async with asyncio.timeout_at(until):
                    await self._change_event.wait()
            except TimeoutError:
                break
        age = loop.time() - self._current_as_of
        if self._rows is None or age > MAX_FORWARDED_AGE_SECONDS:
            return Unavailable("not up to date")
        if after < self._complete_from:
            return HistoryLost()
        found = [*self._rows.values(), *self._removed.values()]
        found = sorted((r for r in found if r.version > after), key=_version_of)
        return Rows(tuple(found), max(after, self._version), 0, age)

    def _wake_followers(self):
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def _read_all(self) -> None:
        while True:
            match await self._store.read(self._table, ""):
                case Rows() as found:
                    self._report_state(True, "")
                    self._replace_rows(found)
                    return
                case Unavailable(detail):
                    self._report_state(False, detail)
                    await self._load_peer_copy()
                    await asyncio.sleep(random.uniform(*RETRY_DELAY_RANGE_SECONDS))

    async def _load_peer_copy(self):
        """Begin with what another host knows.

        A host that starts while the store is away would otherwise serve nothing
        until its return, though all others go on.
        """
        if self._rows is not None:
            return
        found = await self._find_copy(self._table)
        if found is not None:
            self._log.warning(
                "rows_from_peer", table=self._table, version=found.version
            )
            self._replace_rows(found)

    def _replace_rows(self, found):
        self._rows = {r.key.key: r for r in found.rows}
        self._version = found.version
        self._record_age(found)
        self._removed.clear()
        self._complete_from = found.version
        self._on_all(found.rows)
        self._wake_followers()

    def _record_age(self, found):
        now = asyncio.get_running_loop().time()
        self._current_as_of = max(self._current_as_of, now - found.age_seconds)

    def _apply_changes(self, found):
        for row in found.rows:
            if row.key.part:
                continue
            if row.value is None and row.deleted:
                self._rows.pop(row.key.key, None)
                self._remember_removal(row)
            else:
                self._rows[row.key.key] = row
                self._removed.pop(row.key.key, None)
        self._version = found.version
        self._record_age(found)
        if not found.rows:
            return
        before = self.newest_change
        self.newest_change = max(before, self._on_change(found.rows))
        if self.newest_change > before:
            self._wake_followers()

    def _remember_removal(self, row):
        self._removed[row.key.key] = row
        if len(self._removed) > MAX_REMEMBERED_REMOVALS:
            oldest = min(self._removed.values(), key=_version_of)
            del self._removed[oldest.key.key]
            self._complete_from = oldest.version

    def _report_state(self, up, detail):
        if up != self._up:
            self._up = up
            event = "store_regained" if up else "store_lost"
            self._log.warning(event, table=self._table, detail=detail)
        self._on_state(up)


def _version_of(row: StoredRow) -> int:
    return row.version
