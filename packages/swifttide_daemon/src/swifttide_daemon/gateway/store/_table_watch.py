"""Follows a table of the store: keeps a copy of its rows and reports changes."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from swifttide_daemon.gateway.store._shared_call import SharedCall
from swifttide_daemon.gateway.store._shared_store import (
    HistoryLost,
    Rows,
    SharedStore,
    StoredRow,
    Unavailable,
)
from swifttide_daemon.telemetry import EventLog

LONG_POLL_SECONDS = 2.0
"""Time for which one poll waits for changes at the store. A store that stops answering
is detected a second later. A shorter time would cost more calls."""

POLL_PAUSE_SECONDS = 0.1
"""Pause between polls that return changes, for a table that seldom changes."""

BUSY_TABLE_POLL_PAUSE_SECONDS = 0.8
"""Pause between polls for a table in which rows are renewed all the time. Its changes
may be 2 s late, a slow store takes 0.3 s, and beacons of other hosts announce relevant
changes sooner. With a pause of 0.1 s, 69 hosts made 21,800 calls in half a minute."""

STALE_POLL_SECONDS = 0.4
"""Time without an answer after which the connection counts as dead if another host
knows a newer change. A beacon and the store's own answer take less time."""

REFRESH_TIMEOUT_SECONDS = 0.5
"""Time-out of a refresh. A store that is slow takes 0.3 s; one that takes longer must
not hold up later refreshes."""

MAX_FORWARDED_AGE_SECONDS = 3.5
"""Upper limit of the age of rows that are forwarded to other hosts: the full wait of a
poll, a pause between polls and the store's own time."""

MAX_REMEMBERED_REMOVALS = 500
"""Upper limit of removed rows that are remembered for hosts that poll this one, of
about 200 bytes each."""

RETRY_DELAY_RANGE_SECONDS = (0.1, 0.3)
"""Range of the random delay after a failure, so that hosts do not retry at once."""


class TableWatch:
    """Reads the rows of a table's empty part, then polls for changes.

    Parameters
    ----------
    store : SharedStore
    table : str
    on_all : callable
        Takes all rows; rows that are not among them have been removed.
    on_change : callable
        Takes rows that were written or removed. Returns the newest version among the
        rows that changed this host's view, or 0 if they were mere renewals.
    on_state : callable
        Takes whether the store answered.
    find_copy : callable
        Takes the table name; returns the copy of its rows from another host, or None.
    log : EventLog
    pause_seconds : float
        Pause after a poll that was answered.

    Attributes
    ----------
    newest_change : int
        Version of the newest row that changed this host's view.
    complete_until : float
        Time of the event loop up to which no change was missed: that at which the last
        question was sent that the store has answered.
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
        self._refreshing = SharedCall(self._refresh)
        self.newest_change = 0
        self.complete_until = float("-inf")

    @property
    def age_seconds(self) -> float:
        """Time since the store gave the last answer; infinite before the first one."""
        return asyncio.get_running_loop().time() - self._current_as_of

    async def run(self) -> None:
        """Follow the table until cancelled."""
        await self._read_all()
        was_behind = False
        while True:
            # After a failure, poll without waiting: an immediate answer shows that the
            # store is back, whereas a long poll would only show it at its end.
            wait = LONG_POLL_SECONDS if self._up and not was_behind else 0.0
            asked_at = asyncio.get_running_loop().time()
            outcome = await self._poll_changes(wait)
            was_behind = outcome is None
            match outcome:
                case None:
                    continue
                case Rows() as found:
                    self._report_state(True, "")
                    self._apply_changes(found)
                    self._record_question(found, asked_at)
                    await self._pause()
                case HistoryLost():
                    # Changes were missed, possibly removals: read all rows again.
                    self._log.warning("store_history_lost", table=self._table)
                    await self._read_all()
                case Unavailable(detail):
                    self._report_state(False, detail)
                    await asyncio.sleep(random.uniform(*RETRY_DELAY_RANGE_SECONDS))

    async def refresh(self) -> bool:
        """Apply all changes up to now; return whether the store has told them.

        Between polls, or while a poll gets no answer, this host can't tell that nothing
        has changed from not having heard of it.
        """
        return await self._refreshing.outcome()

    async def _refresh(self) -> bool:
        if self._rows is None:
            return False
        asked_at = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(REFRESH_TIMEOUT_SECONDS):
                found = await self._store.changes(self._table, self._version, 0.0)
                is_whole = isinstance(found, HistoryLost)
                if is_whole:
                    found = await self._store.read(self._table, "")
        except TimeoutError:
            return False
        if not isinstance(found, Rows):
            return False
        # Entries that expired in an outage are kept for a while once it is over.
        self._report_state(True, "")
        if not is_whole:
            self._apply_changes(found)
        elif found.version >= self._version:
            self._replace_rows(found)
        self._record_question(found, asked_at)
        return True

    def on_peer_change(self, change: int) -> None:
        """Record the newest change that another host knows, and poll again if needed.

        A connection can die without a reset. A long poll on it would only fail at its
        timeout, and this host would use an old configuration until then.

        Parameters
        ----------
        change : int
            Version of the change, as stated in a beacon.
        """
        if change <= self._version:
            return
        now = asyncio.get_running_loop().time()
        if self._is_pausing or now - self._answered_at > STALE_POLL_SECONDS:
            self._peer_ahead.set()

    async def _pause(self):
        """Let changes accumulate; end early if another host knows a newer change."""
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
        """Poll for changes; None if aborted because another host knows a newer one."""
        if not wait:
            # The answer arrives at once or is being transferred. A large answer takes
            # longer than the interval between beacons. If each beacon aborted it, it
            # would never arrive.
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
        """Return this host's copy of the rows, or None if it has none yet."""
        if self._rows is None:
            return None
        return Rows(tuple(self._rows.values()), self._version, 0)

    async def changes_after(
        self, after: int, wait_seconds: float
    ) -> Rows | HistoryLost | Unavailable:
        """Return what changed after a version, on behalf of another host.

        Waits for a change of this host's view. Mere renewals of rows do not end the
        wait, and are returned when it is over.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_seconds
        while self.newest_change <= after and loop.time() < until:
            try:
                async with asyncio.timeout_at(until):
                    await self._change_event.wait()
            except TimeoutError:
                break
        age = self.age_seconds
        if self._rows is None or age > MAX_FORWARDED_AGE_SECONDS:
            return Unavailable("copy of the table is outdated")
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
        """Start with the copy of another host, if this host has no rows yet.

        Otherwise a host that starts during a store outage could not serve any request
        until the store is back, although all other hosts can.
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

    def _record_question(self, found, asked_at):
        # What another host forwards is as old as its own view, which may be late.
        if not found.age_seconds:
            self.complete_until = max(self.complete_until, asked_at)

    def _record_age(self, found):
        now = asyncio.get_running_loop().time()
        self._current_as_of = max(self._current_as_of, now - found.age_seconds)

    def _apply_changes(self, found):
        self._record_age(found)
        # A refresh may have applied changes that a poll under way returns again.
        changed = tuple(
            row
            for row in found.rows
            if row.version > self._version and not row.key.part
        )
        for row in changed:
            if row.value is None and row.deleted:
                self._rows.pop(row.key.key, None)
                self._remember_removal(row)
            else:
                self._rows[row.key.key] = row
                self._removed.pop(row.key.key, None)
        self._version = max(self._version, found.version)
        if not changed:
            return
        before = self.newest_change
        self.newest_change = max(before, self._on_change(changed))
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
