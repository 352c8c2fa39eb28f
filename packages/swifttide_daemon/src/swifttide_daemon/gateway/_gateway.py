"""Assembles the components of a gateway, and starts and stops them."""

import asyncio
import uuid
from collections.abc import Callable

from swifttide_core.buffering import MemoryBudget
from swifttide_core.forwarding import RoutingConfig
from swifttide_daemon.gateway._background_tasks import BackgroundTasks
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._freshness import Freshness
from swifttide_daemon.gateway._graceful_shutdown import GracefulShutdown
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway._settings import GatewaySettings
from swifttide_daemon.gateway._settings_change import SettingsChange
from swifttide_daemon.gateway._settings_watch import SettingsWatch
from swifttide_daemon.gateway._stall_detector import StallDetector
from swifttide_daemon.gateway._status_pages import StatusPages
from swifttide_daemon.gateway._status_server import StatusServer
from swifttide_daemon.gateway.budgets._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway.budgets._lending_record import (
    LendingRecord,
    record_interval_seconds,
)
from swifttide_daemon.gateway.budgets._token_lender import TokenLender
from swifttide_daemon.gateway.callers._admission import Admission
from swifttide_daemon.gateway.callers._answer_buffers import AnswerBuffers
from swifttide_daemon.gateway.callers._answer_relay import AnswerRelay
from swifttide_daemon.gateway.callers._dialect import Dialect
from swifttide_daemon.gateway.callers._forwarder import Forwarder
from swifttide_daemon.gateway.callers._frontend import Frontend
from swifttide_daemon.gateway.callers._program_entry import ProgramEntry
from swifttide_daemon.gateway.http._connection_pool import ConnectionPool
from swifttide_daemon.gateway.peers._beacon_exchange import BeaconExchange
from swifttide_daemon.gateway.peers._datagrams import PeerDatagrams
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._isolation import IsolationDetector
from swifttide_daemon.gateway.peers._keeper_choice import KeeperChoice
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.peers._peer_client import PeerClient
from swifttide_daemon.gateway.peers._peer_server import PeerServer
from swifttide_daemon.gateway.peers._peer_service import PeerService
from swifttide_daemon.gateway.rates._rate_limiter import RateLimiter
from swifttide_daemon.gateway.rates._share_allocator import MAX_HOLDERS, ShareAllocator
from swifttide_daemon.gateway.store._decoders import Decoders
from swifttide_daemon.gateway.store._membership_feed import MembershipFeed
from swifttide_daemon.gateway.store._operator_feed import OperatorFeed
from swifttide_daemon.gateway.store._peer_fed_store import PeerFedStore
from swifttide_daemon.gateway.store._relayed_store import RelayedStore
from swifttide_daemon.gateway.store._row_reaper import RowReaper
from swifttide_daemon.gateway.store._shared_store import SharedStore
from swifttide_daemon.gateway.store._table_watches import TableWatches
from swifttide_daemon.gateway.store._unusable_rows import UnusableRows
from swifttide_daemon.gateway.streams._stream_origins import StreamOrigins
from swifttide_daemon.gateway.streams._turn_events import TurnEvents
from swifttide_daemon.gateway.streams._version_rows import VersionRows
from swifttide_daemon.gateway.targets._cold_targets import ColdTargets
from swifttide_daemon.gateway.targets._scheduler_endpoint import SchedulerEndpoint
from swifttide_daemon.gateway.targets._strike_keeper import StrikeKeeper
from swifttide_daemon.gateway.targets._target_client import TargetClient
from swifttide_daemon.gateway.targets._target_health import TargetHealth
from swifttide_daemon.gateway.targets._target_prober import TargetProber
from swifttide_daemon.gateway.targets._target_uploads import TargetUploads
from swifttide_daemon.gateway.turns._turn_keeper import TurnKeeper
from swifttide_daemon.telemetry import EventLog

METRICS_PATH = "/metrics"

HOUSEKEEPING_INTERVAL_SECONDS = 0.15
"""Time between checks for idle connections, expired targets and network isolation."""


class Gateway:
    """Gateway process of one host, which forwards callers' requests to targets.

    Parameters
    ----------
    cfg : GatewaySettings
    store : SharedStore
    pool : ConnectionPool
    dialect : Dialect
    decoders : Decoders
    read_settings : callable
        Returns the current settings; raises `ValueError` if they are invalid.
    log : EventLog
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        store: SharedStore,
        pool: ConnectionPool,
        dialect: Dialect,
        decoders: Decoders,
        read_settings: Callable[[], GatewaySettings],
        log: EventLog,
    ):
        self._cfg = cfg
        self._pool = pool
        self._decoders = decoders
        self._log = log
        self._settings_watch = SettingsWatch(read_settings, self._apply_settings, log)
        self._metrics = GatewayMetrics(cfg.host, cfg.zone)
        self._stalls = StallDetector(self._metrics, log)
        self._freshness = Freshness(
            lambda: self._feeds.targets,
            lambda: self._feeds.config,
            lambda: self._store.is_reachable,
            self._stalls,
        )
        self._build_buffers()
        self._build_target_side()
        self._build_fleet_side(store)
        self._build_table_watches()
        self._build_caller_side(dialect)

    def _build_buffers(self):
        n_bytes = self._cfg.memory_bytes
        budget = MemoryBudget(n_bytes) if n_bytes > 0 else None
        self._uploads = TargetUploads(budget)
        self._buffers = AnswerBuffers(budget, self._uploads, self._metrics, self._log)

    def _build_target_side(self):
        log = self._log
        self._strikes = StrikeKeeper(log)
        self._prober = TargetProber(
            self._pool, self._strikes.record_refused_connection, log
        )
        self._health = TargetHealth(self._prober.is_down)
        cold = ColdTargets(self._cfg.cold_excess, self._cfg.cold_extra, log)
        self.beliefs = Beliefs(self._forget_target, log, self._cfg.regions, cold)

    def _build_fleet_side(self, direct):
        cfg, log = self._cfg, self._log
        boot = uuid.uuid4().hex[:12]
        own = Peer(cfg.ip, cfg.peer_port, cfg.zone, boot, cfg.cores)
        self._fleet = Fleet(own, log, cfg.regions)
        self._peers = peers = PeerClient(self._pool)
        self._store = RelayedStore(direct, self._fleet, peers, self._metrics, log)
        self._peer_service = PeerService(
            direct,
            self._fleet,
            peers,
            lambda: self._budgets,
            lambda: self._lender,
            lambda: self._turns,
            lambda: self._origins,
            lambda: self._turn_events,
            lambda table: self._feeds.watch_of(table),
            log,
        )
        self._peer_server = PeerServer(self._peer_service.answer, log)
        self._datagrams = PeerDatagrams(self._fleet, log)
        self._isolation = IsolationDetector(self._fleet, self._store, log)
        self._rates = RateLimiter(
            self._fleet,
            lambda: self._shares.holders(),
            self._datagrams.send,
            log,
            cfg.rate_extra,
        )
        self._record = LendingRecord(
            self._store,
            cfg.ip,
            lambda: self._store.is_reachable and not self._store.is_probing,
            lambda: self._lender,
            lambda: bool(self._shares.slots),
            self._record_period,
            log,
        )
        self._shares = ShareAllocator(
            self._store, self._fleet, self._rates, log, self._record.may_release_slots
        )
        self._scheduling = SchedulerEndpoint(
            self._fleet,
            KeeperChoice(self._fleet, self._shares.holders),
            self.beliefs,
            self._health,
            self._datagrams.send,
            log,
        )
        self._datagrams.on_rate_message = self._rates.handle_message
        self._datagrams.on_order_message = self._scheduling.handle_message

    def _build_table_watches(self):
        unusable = UnusableRows(self._log, self._metrics)
        self._feeds = TableWatches.build(
            self._store,
            PeerFedStore(self._store, self._fleet, self._peers),
            self._decoders,
            OperatorFeed(self._decoders, self.beliefs, self._apply_config, unusable),
            MembershipFeed(
                self._decoders,
                self.beliefs,
                self._strikes,
                self._fleet,
                self._shares,
                unusable,
            ),
            self._peer_service.find_copy,
            self._log,
        )

    def _build_caller_side(self, dialect):
        cfg, log = self._cfg, self._log
        self._reaper = RowReaper(self._store, log)
        self._budgets = BudgetKeeper(
            self._store,
            cfg.ip,
            self._peer_service.collect_tokens,
            self._peer_service.ask_lender,
            self._reaper,
            log,
            lambda: self._store.is_reachable and not self._store.is_throttled,
        )
        self._lender = TokenLender(
            lambda: self._shares.slots,
            self._record.seconds_until_lending,
            lambda: not self._store.is_reachable,
            self._peer_service.collect_tokens,
            self._budgets.charge,
            log,
        )
        self._turns = turns = TurnKeeper(
            self._store,
            cfg.row_bytes,
            self._fleet,
            self._peers,
            cfg.turn_copies,
            lambda: self._store.is_reachable,
            self._record.has_no_unknown_loans,
            self._reaper,
            log,
        )
        self._origins = StreamOrigins(
            self._fleet,
            self._peers,
            self.beliefs,
            self._datagrams.send,
            self._freshness,
            log,
        )
        self._datagrams.on_stream_began = self._origins.handle_message
        self._version_rows = VersionRows(
            self._store,
            self._fleet,
            self.beliefs,
            lambda: self._store.is_reachable,
            log,
        )
        self._turn_events = TurnEvents(self._fleet, self._peers, self._datagrams.send)
        self._datagrams.on_turn_generated = self._turn_events.handle_message
        self._entry = ProgramEntry(
            self.beliefs, self._health, self._scheduling.client, log
        )
        retry_elsewhere_seconds = self._isolation.retry_elsewhere_seconds
        self._forwarder = Forwarder(
            cfg,
            self.beliefs,
            dialect,
            TargetClient(dialect, self._pool, self._prober, self._uploads),
            self._health,
            self._scheduling.client,
            self._fleet,
            Admission(
                self.beliefs,
                self._budgets,
                turns,
                self._rates,
                self._strikes,
                self._entry,
                self._origins,
                self._turn_events,
                lambda: self._front.requests_end_at,
            ),
            AnswerRelay(
                dialect,
                turns,
                self._origins,
                self._turn_events,
                retry_elsewhere_seconds,
                self.beliefs,
                self._metrics,
                log,
            ),
            retry_elsewhere_seconds,
            self._strikes,
            self._freshness,
            self._metrics,
            log,
        )
        self._front = Frontend(
            dialect,
            lambda: self.beliefs.limits,
            self._may_reuse_connections,
            self._forwarder.handle,
            log,
            self._buffers,
        )
        ready_path = self._decoders.ready_path
        self._pages = StatusPages(
            self.beliefs,
            self._fleet,
            self._store,
            self._isolation,
            self._rates,
            self._shares,
            self._entry,
            self._lender,
            self._buffers,
            self._metrics,
            self._may_reuse_connections,
        )
        self._ready = StatusServer(ready_path, self._pages.ready, log)
        self._metrics_server = StatusServer(METRICS_PATH, self._pages.metrics, log)
        self._shutdown = GracefulShutdown(
            self._front,
            self._fleet,
            self._store,
            self._peer_service,
            self._budgets,
            self._lender,
            self._turns.memory,
            self._record,
            lambda: self._cfg.stop_seconds,
            log,
        )
        exchange = BeaconExchange(
            self._fleet.own,
            self._store,
            self._health,
            self._strikes,
            self._feeds.config,
            self._feeds.targets,
            self._turns.memory,
            self._lender,
            self._scheduling.server,
        )
        self._datagrams.compose_beacon = exchange.compose_beacon
        self._datagrams.sends_to_all = lambda: self._rates.share > 0.0
        self._datagrams.on_beacon = exchange.handle_beacon

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then shut down without aborting requests."""
        cfg = self._cfg
        self._log.info("start", ip=cfg.ip, port=cfg.caller_port)
        self._pages.started_at = asyncio.get_running_loop().time()
        await self._datagrams.listen(cfg.ip, cfg.peer_port)
        await self._peer_server.listen(cfg.ip, cfg.peer_port)
        async with asyncio.TaskGroup() as tasks:
            background = BackgroundTasks(tasks, self._log, self._metrics)
            self._start_background_tasks(background)
            await self._front.listen(cfg.ip, cfg.caller_port)
            await self._ready.listen(cfg.ip, cfg.ready_port)
            await self._metrics_server.listen(cfg.ip, cfg.metrics_port)
            await stop.wait()
            await self._shutdown.run()
            background.cancel()
        self._log.info("stop")

    def _start_background_tasks(self, background):
        for table, watch in self._feeds.by_table.items():
            background.start(f"watch_{table}", watch.run)
        background.start("register", lambda: self._fleet.register(self._store))
        background.start("shares", self._shares.run)
        background.start("rates", self._rates.run)
        background.start("lending_record", self._record.run)
        background.start("lender", self._lender.run)
        background.start("budgets", self._budgets.run)
        background.start("version_rows", self._version_rows.run)
        background.start("turn_memory", self._turns.memory.run)
        background.start("reaper", self._reaper.run)
        background.start("settings", lambda: self._settings_watch.run(self._cfg))
        background.start("beacons", self._datagrams.run)
        background.start("scheduler", self._scheduling.server.run)
        background.start("housekeeping", self._run_housekeeping)
        background.start("stalls", self._stalls.run)

    def _record_period(self) -> float:
        """Return the seconds between writes of the lending record, by fleet size."""
        n_hosts = min(MAX_HOLDERS, len(self._fleet.all()) + 1)
        return record_interval_seconds(n_hosts, self._cfg.store_writes_per_second)

    def _may_reuse_connections(self) -> bool:
        """Whether callers may send further requests on their connections."""
        is_cut_off = self._isolation.active or self._isolation.is_suspected
        return not self._front.stopping and not is_cut_off

    async def _run_housekeeping(self):
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
            self._pool.close_expired()
            self.beliefs.drop_lapsed()
            self._isolation.update()
            self._buffers.refresh()
            self._front.check_progress()

    def _forget_target(self, target_id: str) -> None:
        """Discard the state of a target that has been removed."""
        self._prober.forget(target_id)
        self._health.forget(target_id)
        self._scheduling.server.forget_target(target_id)

    def _apply_config(self, cfg: RoutingConfig) -> None:
        self._rates.update_customers(cfg.customers)

    def reload(self) -> None:
        """Reload the settings, after SIGHUP."""
        self._settings_watch.request_reload()

    def _apply_settings(self, cfg: GatewaySettings) -> None:
        """Apply new settings, except those that need a restart."""
        change = SettingsChange.between(self._cfg, cfg)
        self._cfg = change.settings
        self._log.info(
            "settings_taken",
            in_force=list(change.in_force),
            needs_restart=list(change.needs_restart),
        )
