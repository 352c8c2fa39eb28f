"""Noticing that the other end of a connection has fallen silent."""

import asyncio

from swifttide_core.forwarding import TargetEntry
from swifttide_daemon.gateway.targets._http_client import ClientConnection
from swifttide_daemon.gateway.targets._target_prober import TargetProber

SILENCE_SECONDS = 0.4
"""Silence after which a target is asked whether it can still be reached: events come
every thirty milliseconds, and a first one rarely takes longer."""


class SilenceGuard:
    """Closes a connection whose target is out of reach.

    A target that is cut off or has lost power sends no reset. Only its silence shows
    it, and a slow target is silent too: so a new connection is tried first.

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
        """Note that something came."""
        self._last_progress_at = self._loop.time()

    def stop(self) -> None:
        """End the watch."""
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
