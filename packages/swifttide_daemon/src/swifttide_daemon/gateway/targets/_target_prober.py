"""Finding out whether a target can be reached."""

import asyncio
from collections.abc import Callable

from swifttide_core.forwarding import TargetEntry
from swifttide_daemon.gateway.targets._connection_pool import ConnectionPool
from swifttide_daemon.gateway.targets._http_client import ClientConnection
from swifttide_daemon.telemetry import EventLog

PROBE_ATTEMPTS = 2
"""Connections tried before a target counts as out of reach: one opening packet may be
lost, or dropped by a target whose queue of new connections is full."""

RESULT_VALID_SECONDS = 0.3
"""How long a finding holds for others that ask."""

RETRY_INTERVAL_SECONDS = 0.5
"""Between tries to reach a target that is out of reach."""


class TargetProber:
    """Opens connections to targets that have fallen silent.

    Load pattern: a zone is cut off, a target loses power or freezes, and whatever was
    under way there stays silent.

    Without it: each request waits for its whole time, and new ones are sent after it.

    Grounds: a connection within a zone takes a millisecond. It is kept for the next
    request, so a probe that succeeds costs nothing more.

    Parameters
    ----------
    pool : ConnectionPool
    on_refused : callable
        Takes the id of a target at whose address nothing listens any longer.
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

    async def reachable(self, target: TargetEntry) -> bool:
        """Return whether a target accepts a connection."""
        now = asyncio.get_running_loop().time()
        told_at, found = self._results.get(target.id, (float("-inf"), True))
        if now - told_at < RESULT_VALID_SECONDS:
            return found
        probe = self._probes.get(target.id)
        if probe is None:
            probe = asyncio.create_task(self._probe(target))
            self._probes[target.id] = probe
        return await asyncio.shield(probe)

    def is_down(self, target_id: str) -> bool:
        """Return whether a target is out of reach, as far as is known."""
        return target_id in self._reconnect_tasks

    def note_unreachable(self, target: TargetEntry) -> None:
        """Leave a target alone until a connection succeeds."""
        if target.id not in self._reconnect_tasks:
            self._log.warning("target_unreachable", target=target.id)
            watch = asyncio.create_task(self._watch(target))
            self._reconnect_tasks[target.id] = watch

    def forget(self, target_id: str) -> None:
        """Drop what is known of a target that has left."""
        self._results.pop(target_id, None)
        watch = self._reconnect_tasks.pop(target_id, None)
        if watch is not None:
            watch.cancel()

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
