"""Notes in the store which software versions the targets of each service have had.

A host knows only the versions that it has seen since it started. After a loss of all
hosts, none would know at which versions the streams of before may have begun, and the
streams would have to be refused for as long as callers resume them. One row for each
service tells. It is written as versions come and go, and read as a host starts.

Load: one read as a host starts, and one write for each version that comes or goes.
"""

import asyncio
from collections.abc import Callable

import msgspec

from swifttide_core.checks import JsonDecoder
from swifttide_core.forwarding import RequestKind
from swifttide_core.resumption import ServiceVersions
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Condition,
    Put,
    RowKey,
    Rows,
    SharedStore,
    Transaction,
)
from swifttide_daemon.gateway.store._unusable_rows import log_unusable_row
from swifttide_daemon.gateway.streams._stream_keepers import StreamKeepers
from swifttide_daemon.telemetry import EventLog

TABLE = "versions"

CHECK_INTERVAL_SECONDS = 0.2
"""Interval of checks for versions to note."""

RETRY_INTERVAL_SECONDS = 1.0
"""Pause after a read or write that failed."""

N_WRITERS = 4
"""Hosts that write a row. In a large fleet the others would only conflict."""

WRITER_DELAY_SECONDS = 0.5
"""Time for which each writer waits for the one before it."""

_rows = JsonDecoder(ServiceVersions)


class VersionRows:
    """Reads and writes the rows of versions.

    Parameters
    ----------
    store : SharedStore
    fleet : Fleet
    beliefs : Beliefs
        Knows the targets, and is told what all hosts have noted.
    is_reachable : callable
        Returns whether the store can be reached, as far as is known.
    log : EventLog
    """

    def __init__(
        self,
        store: SharedStore,
        fleet: Fleet,
        beliefs: Beliefs,
        is_reachable: Callable[[], bool],
        log: EventLog,
    ):
        self._store = store
        self._fleet = fleet
        self._beliefs = beliefs
        self._is_reachable = is_reachable
        self._log = log
        self._keepers = StreamKeepers(fleet)
        self._noted: dict[str, ServiceVersions] = {}
        self._row_versions: dict[str, int] = {}
        self._now_ms = 0
        self._n_restarts_read: int | None = None
        self._differs_since: float | None = None

    async def run(self) -> None:
        """Read and write rows until cancelled."""
        while True:
            is_done = True
            if self._beliefs.is_complete and self._is_reachable():
                is_done = await self._check()
            await asyncio.sleep(
                CHECK_INTERVAL_SECONDS if is_done else RETRY_INTERVAL_SECONDS
            )

    async def _check(self) -> bool:
        """Read or write what is due; return False if the store refused it."""
        if self._n_restarts_read != self._beliefs.n_version_restarts:
            return await self._read()
        if not self._differing():
            self._differs_since = None
            return True
        now = asyncio.get_running_loop().time()
        if self._differs_since is None:
            self._differs_since = now
        if now - self._differs_since < self._delay_seconds():
            return True
        self._differs_since = None
        if not await self._read():
            return False
        outcomes = [await self._write(service) for service in self._differing()]
        return all(outcomes)

    def _services(self):
        """Return the services whose streams may be resumed."""
        return {
            weighted.service
            for route in self._beliefs.config.routes
            if route.kind is RequestKind.STREAMING and route.resumable
            for weighted in route.services
        }

    def _differing(self):
        """Return the services whose rows don't tell what this host sees."""
        beliefs = self._beliefs
        return [
            service
            for service in sorted(self._services())
            if service not in self._noted
            or self._noted[service].differs(
                beliefs.serving_versions(service), beliefs.longest_timeout(service)
            )
        ]

    def _delay_seconds(self) -> float:
        """Return the time for which this host leaves a change to other writers."""
        writers = self._keepers.ranked(TABLE)[:N_WRITERS]
        own = self._fleet.own.ip
        if own not in writers:
            return float("inf")
        return writers.index(own) * WRITER_DELAY_SECONDS

    async def _read(self) -> bool:
        """Read all rows; return whether the store answered."""
        n_restarts = self._beliefs.n_version_restarts
        found = await self._store.read(TABLE, "", "", "~")
        if not isinstance(found, Rows):
            return False
        self._noted, self._row_versions = {}, {}
        self._now_ms = found.now_ms
        for row in found.rows:
            self._row_versions[row.key.key] = row.version
            try:
                noted = _rows.decode(row.value or b"")
            except ValueError as exc:
                log_unusable_row(self._log, row, str(exc))
                continue
            self._noted[row.key.key] = noted
            if n_restarts == self._beliefs.n_version_restarts:
                self._beliefs.add_noted_versions(row.key.key, noted, found.now_ms)
        self._n_restarts_read = n_restarts
        return True

    async def _write(self, service) -> bool:
        before = self._noted.get(service, ServiceVersions(self._now_ms))
        after = before.updated(
            self._beliefs.serving_versions(service),
            self._beliefs.longest_timeout(service),
            self._now_ms,
        )
        place = RowKey(TABLE, "", service)
        tx = Transaction(
            conditions=(Condition(place, self._row_versions.get(service, 0)),),
            puts=(Put(place, msgspec.json.encode(after)),),
        )
        outcome = await self._store.commit(tx)
        is_written = isinstance(outcome, Applied)
        if is_written:
            self._noted[service] = after
            self._row_versions[service] = outcome.version
        self._log.info(
            "versions_noted",
            service=service,
            left_ms=after.left_ms,
            timeout_seconds=after.timeout_seconds,
            is_written=is_written,
        )
        return is_written
