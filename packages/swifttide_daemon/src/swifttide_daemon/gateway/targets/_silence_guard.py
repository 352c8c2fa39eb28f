"""Detects that a target no longer sends on a connection because it is unreachable.

A target that is partitioned or has lost power sends no reset. After a time without data
on the connection, a new connection to the target is tried; if that fails, the old one
is closed.
"""

import asyncio

from swifttide_core.forwarding import TargetEntry
from swifttide_daemon.gateway.http._client_connection import ClientConnection
from swifttide_daemon.gateway.targets._target_prober import TargetProber

SILENCE_SECONDS = 0.4
"""Time without data after which the target is probed. Events arrive every 30 ms, and a
first event rarely takes longer than this time."""


class SilenceGuard:
    """Closes a connection whose target is unreachable.

    A target that is partitioned or has lost power sends no reset, so only its silence
    shows the fault. A slow target is silent too; therefore the guard first tries to
    open a new connection. ``fired`` says whether the guard has closed the connection.

    Parameters
    ----------
    conn : ClientConnection
    target : TargetEntry
    prober : TargetProber
    """

    def __init__(
        self, conn: ClientConnection, target: TargetEntry, prober: TargetProber
    ):
        self.fired = False
        self._conn = conn
        self._target = target
        self._prober = prober
        self._loop = asyncio.get_running_loop()
        self._last_progress_at = self._loop.time()
        self._task: asyncio.Task | None = None
        self._timer = self._loop.call_later(SILENCE_SECONDS, self._check)

    def progress(self) -> None:
        """Restart the timeout because data has arrived."""
        self._last_progress_at = self._loop.time()

    def stop(self) -> None:
        """Stop watching the connection."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _check(self):
        left = self._last_progress_at + SILENCE_SECONDS - self._loop.time()
        if left > 0.001:
            self._timer = self._loop.call_later(left, self._check)
        else:
            self._task = self._loop.create_task(self._ask())

    async def _ask(self):
        if not await self._prober.reachable(self._target):
            self.fired = True
            self._conn.close()
            return
        self.progress()
        self._timer = self._loop.call_later(SILENCE_SECONDS, self._check)
