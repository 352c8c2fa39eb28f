"""Determines whether a target is reachable by opening a connection to it."""

import asyncio
from collections.abc import Callable

from swifttide_core.forwarding import TargetEntry
from swifttide_daemon.gateway.http._client_connection import ClientConnection
from swifttide_daemon.gateway.http._connection_pool import ConnectionPool
from swifttide_daemon.telemetry import EventLog

PROBE_ATTEMPTS = 2
"""Number of connection attempts before a target counts as unreachable. One SYN packet
may be lost, or dropped by a target whose accept queue is full."""

RESULT_VALID_SECONDS = 0.3
"""Time for which a probe's result is reused for other requests."""

RETRY_INTERVAL_SECONDS = 0.5
"""Time between attempts to connect to an unreachable target."""

END_CHECK_DELAY_SECONDS = 0.1
"""Time from a broken connection to the check whether its target has ended. A process
that ends may close its connections a moment before its listening socket."""


class TargetProber:
    """Probes targets that no longer send data on their connections.

    It is made for a partitioned zone or a target that freezes or loses power, where all
    requests under way stay without an answer. Without it, each request waits for its
    whole time limit, and new requests are sent to the same target.

    A connection within a zone takes 1 ms. The connection of a successful probe goes to
    the pool for the next request, so it causes no further cost.

    Parameters
    ----------
    pool : ConnectionPool
    on_refused : callable
        Called with the id of a target that refuses connections because nothing
        listens at its address any longer.
    log : EventLog
    """

    def __init__(
        self,
        pool: ConnectionPool,
        on_refused: Callable[[str], None],
        log: EventLog,
    ):
        self._pool = pool
        self._on_refused = on_refused
        self._log = log
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._results: dict[str, tuple[float, bool]] = {}
        self._reconnect_tasks: dict[str, asyncio.Task] = {}
        self._end_checks: dict[str, asyncio.Task] = {}

    async def reachable(self, target: TargetEntry) -> bool:
        """Return whether a target accepts a connection.

        Concurrent calls for the same target share one probe.
        """
        now = asyncio.get_running_loop().time()
        probed_at, found = self._results.get(target.id, (float("-inf"), True))
        if now - probed_at < RESULT_VALID_SECONDS:
            return found
        probe = self._probes.get(target.id)
        if probe is None:
            probe = asyncio.create_task(self._probe(target))
            self._probes[target.id] = probe
        return await asyncio.shield(probe)

    def is_down(self, target_id: str) -> bool:
        """Return whether a target is known to be unreachable."""
        return target_id in self._reconnect_tasks

    def note_unreachable(self, target: TargetEntry) -> None:
        """Mark a target as unreachable until a connection to it succeeds."""
        if target.id not in self._reconnect_tasks:
            self._log.warning("target_unreachable", target=target.id)
            task = asyncio.create_task(self._watch(target))
            self._reconnect_tasks[target.id] = task

    def check_end(self, target: TargetEntry) -> None:
        """Find out whether a target has ended, as a connection to it broke.

        Whoever connects to the address of a target that has ended is refused. A target
        that comes back at another address gives no later occasion to notice.
        """
        if target.id not in self._end_checks:
            task = asyncio.create_task(self._check_end(target))
            self._end_checks[target.id] = task

    async def _check_end(self, target):
        try:
            await asyncio.sleep(END_CHECK_DELAY_SECONDS)
            await self._connects(target)
        finally:
            del self._end_checks[target.id]

    def forget(self, target_id: str) -> None:
        """Remove the state of a target that has left."""
        self._results.pop(target_id, None)
        task = self._reconnect_tasks.pop(target_id, None)
        if task is not None:
            task.cancel()

    async def _watch(self, target):
        while not await self._connects(target):
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        self._reconnect_tasks.pop(target.id, None)
        self._log.info("target_reachable", target=target.id)

    async def _probe(self, target):
        try:
            found = False
            for _ in range(PROBE_ATTEMPTS):
                if await self._connects(target):
                    found = True
                    break
            now = asyncio.get_running_loop().time()
            self._results[target.id] = (now, found)
            if not found:
                self.note_unreachable(target)
            return found
        finally:
            del self._probes[target.id]

    async def _connects(self, target):
        try:
            conn = await ClientConnection.open(target.ip, target.port)
        except ConnectionRefusedError:
            self._on_refused(target.id)
            return False
        except OSError:
            return False
        self._pool.give_back(target.ip, target.port, conn, None)
        return True
