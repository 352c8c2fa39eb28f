"""One gateway: its parts, its start and its stop."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from swifttide_core.forwarding import RequestLimits, RoutingConfig, TargetEntry
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway._connection_pool import ConnectionPool
from swifttide_daemon.gateway._dialect import Dialect
from swifttide_daemon.gateway._forwarder import Forwarder
from swifttide_daemon.gateway._frontend import Frontend
from swifttide_daemon.gateway._rate_keeper import RateKeeper
from swifttide_daemon.gateway._ready_server import ReadyServer
from swifttide_daemon.gateway._settings import GatewaySettings
from swifttide_daemon.gateway._shared_store import SharedStore, StoredRow
from swifttide_daemon.gateway._table_watch import TableWatch
from swifttide_daemon.gateway._target_client import TargetClient
from swifttide_daemon.gateway._target_health import TargetHealth
from swifttide_daemon.gateway._turn_keeper import TurnKeeper
from swifttide_daemon.telemetry import EventLog

UNREADY_SECONDS = 2.5
"""From SIGTERM until the port closes. The balancer asks every second and takes a
host out after two misses; until then new connections still come."""

STOP_MARGIN_SECONDS = 1.0
"""The process ends this long before it would be killed."""

HOUSEKEEPING_SECONDS = 0.5
"""Between looks at idle connections and lapsed targets."""


@dataclass(frozen=True, slots=True)
class Decoders:
    """How the store's rows are read.

    Parameters
    ----------
    config_table, config_key : str
        Where the operator's document lies.
    targets_table : str
        Where targets register.
    config : callable
        Returns a `RoutingConfig`; raises `ValueError`.
    target : callable
        Returns a `TargetEntry`, or None for an entry that names no target.
    ready_path : str
        Path of the balancer's question.
    """

    config_table: str
    config_key: str
    targets_table: str
    config: Callable[[bytes], RoutingConfig]
    target: Callable[[str, bytes | None], TargetEntry | None]
    ready_path: str


class Gateway:
    """Forwards requests at one host.

    Parameters
    ----------
    cfg : GatewaySettings
    store : SharedStore
    pool : ConnectionPool
    dialect : Dialect
    decoders : Decoders
    log : EventLog
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        store: SharedStore,
        pool: ConnectionPool,
        dialect: Dialect,
        decoders: Decoders,
        log: EventLog,
    ):
        self._cfg = cfg
        self._pool = pool
        self._decoders = decoders
        self._log = log
        self.beliefs = Beliefs(log)
        self._forwarder = Forwarder(
            cfg,
            self.beliefs,
            dialect,
            TargetClient(dialect, pool),
            TargetHealth(),
            BudgetKeeper(store, cfg.ip, log),
            TurnKeeper(store, cfg.row_bytes, log),
            RateKeeper(1.0),
            log,
        )
        self._front = Frontend(dialect, self._limits, self._forwarder.handle, log)
        self._ready = ReadyServer(decoders.ready_path, self._is_ready)
        self._config_watch = TableWatch(
            store,
            decoders.config_table,
            self._take_config_rows,
            self._take_config_rows,
            lambda up: None,
            log,
        )
        self._targets_watch = TableWatch(
            store,
            decoders.targets_table,
            self._take_all_targets,
            self._take_changed_targets,
            self._note_store,
            log,
        )
        self._store_up = True

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then leave without cutting a request."""
        cfg = self._cfg
        self._log.info("start", ip=cfg.ip, port=cfg.caller_port)
        async with asyncio.TaskGroup() as tasks:
            background = [
                tasks.create_task(self._config_watch.run()),
                tasks.create_task(self._targets_watch.run()),
                tasks.create_task(self._keep_house()),
            ]
            await self._front.listen(cfg.ip, cfg.caller_port)
            await self._ready.listen(cfg.ip, cfg.ready_port)
            await stop.wait()
            await self._leave()
            for task in background:
                task.cancel()
        self._log.info("stop")

    async def _leave(self):
        """Finish what callers wait for, then go.

        Connections stay open until the balancer sends no new ones. Each answer then
        closes its connection; one that is cut instead has lost a request.
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        ends = began + self._cfg.stop_seconds - STOP_MARGIN_SECONDS
        self._log.info("stopping", busy=self._front.n_busy)
        self._front.stopping = True
        await asyncio.sleep(UNREADY_SECONDS)
        self._front.stop_accepting()
        self._front.close_idle()
        while self._front.n_busy and loop.time() < ends:
            await asyncio.sleep(0.05)
        self._log.info("left", busy=self._front.n_busy)

    def _is_ready(self) -> bool:
        return self.beliefs.complete and not self._front.stopping

    def _limits(self) -> RequestLimits:
        cfg = self.beliefs.config
        return cfg.limits if cfg else RequestLimits()

    async def _keep_house(self):
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self._pool.close_expired()
            self.beliefs.drop_lapsed()

    def _note_store(self, up: bool) -> None:
        if up and not self._store_up:
            self.beliefs.store_returned()
        self._store_up = up

    def _take_config_rows(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.key.key != self._decoders.config_key or row.value is None:
                continue
            try:
                cfg = self._decoders.config(row.value)
            except ValueError as exc:
                self._log.error("configuration_unreadable", detail=str(exc))
                continue
            self.beliefs.take_config(cfg, "store")

    def _take_all_targets(self, rows: tuple[StoredRow, ...]) -> None:
        entries = {}
        for row in rows:
            entry = self._decode_target(row)
            if entry is not None:
                entries[entry.id] = entry
        self.beliefs.replace_targets(entries)

    def _take_changed_targets(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            entry = self._decode_target(row)
            if entry is not None:
                self.beliefs.put_target(entry)
            else:
                self.beliefs.remove_target(row.key.key)

    def _decode_target(self, row):
        if row.key.part:
            return None
        entry = self._decoders.target(row.key.key, row.value)
        if entry is None and row.value is not None:
            self._log.warning("target_entry_unreadable", target=row.key.key)
        return entry

    def reload(self) -> None:
        """Take SIGHUP: the settings file may have changed."""
        self._log.info("reload")
