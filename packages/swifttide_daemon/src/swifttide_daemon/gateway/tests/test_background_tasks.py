"""Tests of background tasks that fail, and of rows that can't be applied."""

import asyncio
import logging

from swifttide_daemon.gateway import RowKey, StoredRow
from swifttide_daemon.gateway._background_tasks import (
    MAX_RESTART_SECONDS,
    BackgroundTasks,
)
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.store._unusable_rows import UnusableRows
from swifttide_daemon.telemetry import EventLog
from swifttide_standins.paused_clock import run_paused


def count_of(metrics, series):
    """Return the value of the first sample of a series; 0 where it has none."""
    lines = metrics.render()[0].decode().splitlines()
    found = [line for line in lines if line.startswith(series + "{")]
    return sum(float(line.rpartition(" ")[2]) for line in found)


def failing(times, seen):
    """Return a task that fails so often, and then waits."""

    async def run():
        seen.append(asyncio.get_running_loop().time())
        if len(seen) <= times:
            raise RecursionError("too deep")
        await asyncio.Event().wait()

    return run


class TestBackgroundTasks:
    def test_failed_task_is_restarted_beside_the_others(self, log):
        """Guards against the end of the process where one task fails."""
        metrics = GatewayMetrics("h", "z")

        async def main():
            seen, beside = [], []
            async with asyncio.TaskGroup() as group:
                tasks = BackgroundTasks(group, log, metrics)
                tasks.start("rows", failing(3, seen))
                tasks.start("other", failing(0, beside))
                await asyncio.sleep(2.0)
                tasks.cancel()
            return len(seen), len(beside)

        assert run_paused(main()) == (4, 1)
        assert count_of(metrics, "swifttide_background_failures_total") == 3

    def test_task_that_always_fails_is_restarted_seldom(self, log):
        async def main():
            seen = []
            async with asyncio.TaskGroup() as group:
                tasks = BackgroundTasks(group, log, GatewayMetrics("h", "z"))
                tasks.start("rows", failing(1000, seen))
                await asyncio.sleep(60.0)
                tasks.cancel()
            return len(seen), seen[-1] - seen[-2]

        n_starts, pause = run_paused(main())
        assert n_starts < 20
        assert pause == MAX_RESTART_SECONDS


class TestUnusableRows:
    def make_row(self, version=1):
        return StoredRow(RowKey("servers", "", "i-1"), b"x", version)

    def apply(self, rows, row, exc=None):
        with rows.skip(row):
            if exc is not None:
                raise exc

    def test_same_fault_is_reported_once(self, caplog):
        """Guards against a log that fills while a row is renewed every second."""
        caplog.set_level(logging.WARNING)
        metrics = GatewayMetrics("h", "z")
        rows = UnusableRows(EventLog(logging.getLogger("swifttide.test")), metrics)
        for version in range(5):
            self.apply(rows, self.make_row(version), ValueError("got 7"))
        assert count_of(metrics, "swifttide_unusable_rows_total") == 1
        self.apply(rows, self.make_row(6))
        self.apply(rows, self.make_row(7), ValueError("got 7"))
        self.apply(rows, self.make_row(8), KeyError("unforeseen"))
        assert count_of(metrics, "swifttide_unusable_rows_total") == 3
        events = [record.getMessage() for record in caplog.records]
        assert events.count("row_unusable") == 3
        assert events.count("row_failed") == 1
