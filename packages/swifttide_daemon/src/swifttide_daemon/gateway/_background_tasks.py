"""Runs the background tasks of a host, and restarts one that fails."""

import asyncio
from collections.abc import Awaitable, Callable

from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.telemetry import EventLog

MIN_RESTART_SECONDS = 0.2
MAX_RESTART_SECONDS = 5.0
"""Range of the delay before a failed task is restarted. It doubles with each failure,
and begins anew once the task has run for longer than the maximum."""


class BackgroundTasks:
    """Background tasks that don't end before the host stops.

    An unexpected exception in one of them, or one value that nobody foresaw, must not
    end the process with all the requests that it serves.

    Parameters
    ----------
    group : asyncio.TaskGroup
        Group in which the tasks run.
    log : EventLog
    metrics : GatewayMetrics
    """

    def __init__(
        self, group: asyncio.TaskGroup, log: EventLog, metrics: GatewayMetrics
    ):
        self._group = group
        self._log = log
        self._metrics = metrics
        self._tasks: list[asyncio.Task] = []

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task.

        Parameters
        ----------
        name : str
            Name for the log and for metrics.
        run : callable
            Called for each start; goes on with the state that the last run has left.
        """
        task = self._group.create_task(self._run(name, run), name=name)
        self._tasks.append(task)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, name, run):
        loop = asyncio.get_running_loop()
        delay = MIN_RESTART_SECONDS
        while True:
            started_at = loop.time()
            try:
                await run()
                return
            except Exception as exc:
                self._log.error("background_task_failed", exc, task=name)
                self._metrics.background_failure(name)
            if loop.time() - started_at > MAX_RESTART_SECONDS:
                delay = MIN_RESTART_SECONDS
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RESTART_SECONDS)
