"""Test fixtures: a log, a clock, and an in-memory store that simulates faults."""

import asyncio
import logging
import time
from types import SimpleNamespace

import pytest

from swifttide_daemon.gateway import (
    Applied,
    Conflict,
    HistoryLost,
    RowKey,
    Rows,
    StoredRow,
    Unavailable,
)
from swifttide_daemon.gateway.peers import _elapsed_clock
from swifttide_daemon.telemetry import EventLog
from swifttide_standins.print_office import MemoryRows

HANG_DURATION_SECONDS = 3.0


class FakeStore:
    """Shared store on `MemoryRows` with switchable faults.

    Attributes
    ----------
    down : bool
        Whether all calls fail.
    hangs : bool
        Whether reads get no answer for `HANG_DURATION_SECONDS` and then fail.
    unavailable_tables : set of str
        Tables for which all commits and reads fail.
    n_lost_answers : int
        Number of next commits that are applied although their answers are lost.
    delay : bool
        Whether commits are put into `late` instead of being applied.
    late : list
        Transactions that take effect when `deliver_late` is called.
    n_calls : int
        Number of calls so far.
    """

    def __init__(self):
        self.rows = MemoryRows()
        self.down = False
        self.hangs = False
        self.unavailable_tables = set()
        self.n_lost_answers = 0
        self.delay = False
        self.late = []
        self.n_calls = 0

    async def commit(self, tx):
        self.n_calls += 1
        await asyncio.sleep(0.01)
        tables = {key.table for key in (*(p.key for p in tx.puts), *tx.removes)}
        if self.down or tables & self.unavailable_tables:
            return Unavailable("down")
        if self.delay:
            self.late.append(tx)
            await asyncio.sleep(0.5)
            return Unavailable("no answer", True)
        outcome = self._apply(tx)
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            await asyncio.sleep(0.5)
            return Unavailable("no answer", True)
        return outcome

    def deliver_late(self):
        """Apply the delayed transactions."""
        for tx in self.late:
            self._apply(tx)
        self.late.clear()

    async def read(self, table, part, start="", end=""):
        self.n_calls += 1
        if self.hangs:
            await asyncio.sleep(HANG_DURATION_SECONDS)
            return Unavailable("no answer")
        await asyncio.sleep(0.004)
        if self.down or table in self.unavailable_tables:
            return Unavailable("down")
        found = self.rows.range(table, part, start, end)
        rows = tuple(StoredRow(RowKey(*p), r.value, r.version) for p, r in found)
        return Rows(rows, self.rows.version, self.now_ms)

    async def changes(self, table, after, wait_seconds):
        self.n_calls += 1
        until = asyncio.get_running_loop().time() + wait_seconds
        while not self.down:
            if after < self.rows.first_known:
                return HistoryLost()
            found = self.rows.changes(table, after)
            now = asyncio.get_running_loop().time()
            if found or now >= until:
                rows = tuple(
                    StoredRow(RowKey(*p), value, version, value is None)
                    for version, p, value in found
                )
                return Rows(rows, self.rows.version, self.now_ms)
            await asyncio.sleep(0.02)
        return Unavailable("down")

    def reconnect(self):
        """Nothing to do."""

    @property
    def now_ms(self):
        return int(asyncio.get_running_loop().time() * 1000)

    def _apply(self, tx):
        failed = self.rows.commit(
            [(row_place(c.key), c.version) for c in tx.conditions],
            [(row_place(p.key), p.value) for p in tx.puts],
            [row_place(k) for k in tx.removes],
        )
        if failed is None:
            return Applied(self.rows.version, self.now_ms)
        rows = [
            StoredRow(RowKey(*p), row.value, row.version)
            for p, row in failed
            if row is not None
        ]
        return Conflict(tuple(rows))


def row_place(key):
    """Return a key as the tuple that `MemoryRows` uses."""
    return (key.table, key.part, key.key)


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def log():
    return EventLog(logging.getLogger("swifttide.test"))


@pytest.fixture
def suspend(monkeypatch):
    """Suspend the machine for some seconds, which the event loop doesn't count."""
    suspended = 0.0

    def run(seconds):
        nonlocal suspended
        suspended += seconds

    clock = SimpleNamespace(
        CLOCK_BOOTTIME=time.CLOCK_BOOTTIME,
        clock_gettime=lambda clock: suspended,
        monotonic=lambda: 0.0,
    )
    monkeypatch.setattr(_elapsed_clock, "time", clock)
    return run
