"""One gateway: its parts, its start and its stop."""

import asyncio
import dataclasses
import uuid
from collections.abc import Callable
from dataclasses import dataclass

from swifttide_core.forwarding import RequestLimits, RoutingConfig, TargetEntry
from swifttide_daemon.gateway._beacon import Beacon
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway._connection_pool import ConnectionPool
from swifttide_daemon.gateway._datagrams import MAX_STRIKES, Datagrams
from swifttide_daemon.gateway._dialect import Dialect
from swifttide_daemon.gateway._fleet import HOST_PREFIX, Fleet
from swifttide_daemon.gateway._fleet import TABLE as FLEET_TABLE
from swifttide_daemon.gateway._forwarder import Forwarder
from swifttide_daemon.gateway._frontend import Frontend
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway._peer import Peer
from swifttide_daemon.gateway._peer_client import PeerClient
from swifttide_daemon.gateway._peer_messages import (
    Done,
    GiveBackTokens,
    PeerAnswer,
    PeerRequest,
    ReadCopy,
    RelayChanges,
    RelayCommit,
    RelayRead,
    StoreOutcome,
)
from swifttide_daemon.gateway._peer_server import PeerServer
from swifttide_daemon.gateway._rate_keeper import RateKeeper
from swifttide_daemon.gateway._relayed_store import RelayedStore
from swifttide_daemon.gateway._row_reaper import RowReaper
from swifttide_daemon.gateway._settings import GatewaySettings
from swifttide_daemon.gateway._settings_watch import SettingsWatch
from swifttide_daemon.gateway._share_keeper import KEY as SHARES_KEY
from swifttide_daemon.gateway._share_keeper import ShareKeeper
from swifttide_daemon.gateway._shared_store import (
    Rows,
    SharedStore,
    StoredRow,
    Unavailable,
)
from swifttide_daemon.gateway._status_server import (
    NOT_READY,
    OK,
    StatusPage,
    StatusServer,
)
from swifttide_daemon.gateway._strike_keeper import StrikeKeeper
from swifttide_daemon.gateway._table_watch import TableWatch
from swifttide_daemon.gateway._target_client import TargetClient
from swifttide_daemon.gateway._target_health import TargetHealth
from swifttide_daemon.gateway._target_prober import TargetProber
from swifttide_daemon.gateway._turn_keeper import TurnKeeper
from swifttide_daemon.telemetry import EventLog

UNREADY_SECONDS = 2.5
"""From SIGTERM until the port closes. The balancer asks every second and takes a
host out after two misses; until then new connections still come."""

STOP_MARGIN_SECONDS = 1.0
"""The process ends this long before it would be killed."""

CHANGEABLE = frozenset(
    {"stop_seconds", "rate_window_seconds", "rate_excess", "rate_extra"}
)
"""Settings that are taken while the process runs."""

METRICS_PATH = "/metrics"

BALANCER_SECONDS = 2.1
"""Time until the balancer has taken out a host that isn't ready: it asks each second
and counts two misses."""

MIN_ELSEWHERE_SECONDS = 0.15
"""Shortest pause before a caller tries another host."""

SHARE_WAIT_SECONDS = 4.0
"""Longest time that a new host waits for its share of the rates."""

MAX_COPIES = 3
"""Hosts that are asked for what they know; the newest copy is taken."""

COPY_SECONDS = 0.3
"""Time for a copy of a table."""

GIVE_BACK_SECONDS = 0.15
"""Time for another host to write a program's free tokens back."""

HOUSEKEEPING_SECONDS = 0.15
"""Between looks at idle connections, lapsed targets and whether it is cut off."""


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
    read_settings : callable
        Returns the settings as they are now; raises `ValueError`.
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
        self.beliefs = Beliefs(log)
        self._settings_watch = SettingsWatch(read_settings, self._apply_settings, log)
        self._started_at = float("inf")
        self._isolated = False
        self._isolated_at = 0.0
        self._strikes = StrikeKeeper(log)
        self._prober = TargetProber(pool, self._strikes.refused, log)
        self._health = TargetHealth(self._prober.is_down)
        self._metrics = GatewayMetrics(cfg.host, cfg.zone)
        self._connect_fleet(store)
        self._forwarder = Forwarder(
            cfg,
            self.beliefs,
            dialect,
            TargetClient(dialect, pool, self._prober),
            self._health,
            self._budgets,
            TurnKeeper(self._store, cfg.row_bytes, self._reaper, log),
            self._elsewhere_after,
            self._rates,
            self._strikes,
            self._metrics,
            log,
        )
        self._front = Frontend(
            dialect, self._limits, self._may_keep, self._forwarder.handle, log
        )
        self._ready = StatusServer(decoders.ready_path, self._ready_page, log)
        self._metrics_server = StatusServer(METRICS_PATH, self._metrics_page, log)
        self._config_watch = TableWatch(
            self._store,
            decoders.config_table,
            self._take_config_rows,
            self._take_config_rows,
            lambda up: None,
            self._find_copy,
            log,
        )
        self._targets_watch = TableWatch(
            self._store,
            decoders.targets_table,
            self._take_all_targets,
            self._take_changed_targets,
            self._note_store,
            self._find_copy,
            log,
        )
        self._fleet_watch = TableWatch(
            self._store,
            FLEET_TABLE,
            self._take_all_hosts,
            self._take_changed_hosts,
            lambda up: None,
            self._find_copy,
            log,
        )
        self._store_up = True

    def _connect_fleet(self, store):
        cfg, log = self._cfg, self._log
        own = Peer(cfg.ip, cfg.peer_port, cfg.zone, uuid.uuid4().hex[:12])
        self._fleet = Fleet(own, log)
        self._peers = PeerClient(self._pool)
        self._direct_store = store
        self._store = RelayedStore(store, self._fleet, self._peers, self._metrics, log)
        self._reaper = RowReaper(self._store, log)
        self._datagrams = Datagrams(self._fleet, log)
        self._rates = RateKeeper(cfg, self._fleet, self._datagrams.send, log)
        self._shares = ShareKeeper(self._store, cfg.ip, self._rates, log)
        self._budgets = BudgetKeeper(
            self._store, cfg.ip, self._ask_holders, self._reaper, log
        )
        self._peer_server = PeerServer(self._answer_peer, log)
        self._datagrams.compose = self._compose_beacon
        self._datagrams.on_beacon = self._take_beacon
        self._datagrams.on_ask = self._rates.lend
        self._datagrams.on_lend = self._rates.receive

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then leave without cutting a request."""
        cfg = self._cfg
        self._log.info("start", ip=cfg.ip, port=cfg.caller_port)
        self._started_at = asyncio.get_running_loop().time()
        await self._datagrams.listen(cfg.ip, cfg.peer_port)
        await self._peer_server.listen(cfg.ip, cfg.peer_port)
        async with asyncio.TaskGroup() as tasks:
            background = [
                tasks.create_task(self._config_watch.run()),
                tasks.create_task(self._targets_watch.run()),
                tasks.create_task(self._fleet_watch.run()),
                tasks.create_task(self._fleet.register(self._store)),
                tasks.create_task(self._shares.run()),
                tasks.create_task(self._reaper.run()),
                tasks.create_task(self._settings_watch.run(cfg)),
                tasks.create_task(self._datagrams.run()),
                tasks.create_task(self._keep_house()),
            ]
            await self._front.listen(cfg.ip, cfg.caller_port)
            await self._ready.listen(cfg.ip, cfg.ready_port)
            await self._metrics_server.listen(cfg.ip, cfg.metrics_port)
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
        await self._fleet.leave(self._store)

    def _is_ready(self) -> bool:
        """Whether new connections are welcome.

        Without a share of the customers' rates a host would refuse what the others
        could serve; it waits for one, but not for long.
        """
        waited = asyncio.get_running_loop().time() - self._started_at
        has_share = self._rates.share > 0 or waited > SHARE_WAIT_SECONDS
        return self.beliefs.complete and has_share and self._may_keep()

    def _ready_page(self) -> StatusPage:
        return OK if self._is_ready() else NOT_READY

    def _metrics_page(self) -> StatusPage:
        believe = self._metrics.believe
        cfg = self.beliefs.config
        believe("config_version", cfg.version if cfg else 0)
        believe("targets", len(self.beliefs.targets))
        believe("peers_heard", len(self._fleet.alive()))
        believe("rate_share", self._rates.share)
        believe("store_up", float(self._store.direct_up))
        believe("isolated", float(self._isolated))
        body, content_type = self._metrics.render()
        return StatusPage(OK.status, body, content_type)

    def _is_isolated(self) -> bool:
        """Whether this host is cut off from the store and from the other zones.

        Its callers reach hosts of other zones, which can serve them; this one can't
        start programs or keep turns. In an outage of the store itself the other zones
        are still heard, and sending callers there would gain nothing.
        """
        if not self._fleet.is_alone():
            return False
        self._store.doubt()
        return not self._store.direct_up and not self._fleet.with_store()

    def _elsewhere_after(self) -> float | None:
        """Return after how many seconds callers reach another host, None if no sooner.

        From when it knows that it is cut off, the balancer still sends callers here
        until it has asked twice.
        """
        if not self._isolated:
            return None
        since = asyncio.get_running_loop().time() - self._isolated_at
        return max(MIN_ELSEWHERE_SECONDS, BALANCER_SECONDS - since)

    def _may_keep(self) -> bool:
        """Whether callers may use their connections again."""
        return not self._front.stopping and not self._isolated

    def _limits(self) -> RequestLimits:
        cfg = self.beliefs.config
        return cfg.limits if cfg else RequestLimits()

    async def _keep_house(self):
        while True:
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
            self._pool.close_expired()
            self.beliefs.drop_lapsed()
            self._note_isolation()

    async def _answer_peer(self, request: PeerRequest) -> PeerAnswer:
        """Carry out another host's call."""
        store = self._direct_store
        match request:
            case GiveBackTokens(program):
                return Done(await self._budgets.give_back(program))
            case RelayCommit(tx):
                return StoreOutcome.of(await store.commit(tx))
            case RelayRead(table, part, start, end):
                return StoreOutcome.of(await store.read(table, part, start, end))
            case RelayChanges(table, after, seconds):
                return StoreOutcome.of(await store.changes(table, after, seconds))
            case ReadCopy(table):
                return StoreOutcome.of(self._copy_of(table))

    def _copy_of(self, table: str) -> Rows | Unavailable:
        watches = {
            self._decoders.config_table: self._config_watch,
            self._decoders.targets_table: self._targets_watch,
            FLEET_TABLE: self._fleet_watch,
        }
        watch = watches.get(table)
        found = watch.copy() if watch else None
        return found or Unavailable("not known here")

    async def _find_copy(self, table: str) -> Rows | None:
        """Return the newest of what some other hosts know of a table."""
        peers = self._fleet.alive()[:MAX_COPIES]
        calls = [self._peers.call(p, ReadCopy(table), COPY_SECONDS) for p in peers]
        answers = await asyncio.gather(*calls)
        copies = [
            found
            for answer in answers
            if isinstance(answer, StoreOutcome)
            and isinstance(found := answer.unwrap(), Rows)
        ]
        return max(copies, key=lambda rows: rows.version, default=None)

    async def _ask_holders(self, ips: tuple[str, ...], program: str) -> bool:
        """Ask hosts to give a program's free tokens back; whether one did."""
        peers = [p for ip in ips if (p := self._fleet.by_ip(ip)) is not None]
        calls = [
            self._peers.call(p, GiveBackTokens(program), GIVE_BACK_SECONDS)
            for p in peers
        ]
        answers = await asyncio.gather(*calls)
        return any(isinstance(a, Done) and a.ok for a in answers)

    def _compose_beacon(self, number: int) -> Beacon:
        return Beacon(
            ip=self._cfg.ip,
            port=self._cfg.peer_port,
            zone=self._cfg.zone,
            boot=self._fleet.own.boot,
            number=number,
            store_up=self._store.direct_up,
            config_change=self._config_watch.newest_change,
            target_change=self._targets_watch.newest_change,
            outstanding=self._health.own_counts(),
            strikes=self._strikes.news()[:MAX_STRIKES],
        )

    def _take_beacon(self, beacon: Beacon) -> None:
        self._health.told(beacon.ip, beacon.outstanding)
        self._strikes.take(beacon.strikes)
        self._config_watch.heard_of(beacon.config_change)
        self._targets_watch.heard_of(beacon.target_change)

    def _take_all_hosts(self, rows: tuple[StoredRow, ...]) -> None:
        self._fleet.take_all(
            tuple(r for r in rows if r.key.key.startswith(HOST_PREFIX))
        )
        self._take_changed_hosts(rows)

    def _take_changed_hosts(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            if row.key.key.startswith(HOST_PREFIX):
                self._fleet.take_row(row)
            elif row.key.key == SHARES_KEY:
                self._shares.take_row(row)

    def _note_isolation(self):
        isolated = self._is_isolated()
        if isolated != self._isolated:
            self._isolated = isolated
            self._isolated_at = asyncio.get_running_loop().time()
            event = "isolated" if isolated else "isolation_ended"
            self._log.warning(event, peers=len(self._fleet.alive()))

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
            self._rates.follow(cfg.customers)

    def _take_all_targets(self, rows: tuple[StoredRow, ...]) -> None:
        entries = {}
        for row in rows:
            entry = self._decode_target(row)
            if entry is not None:
                entries[entry.id] = entry
                self._strikes.seen(entry)
        self.beliefs.replace_targets(entries)

    def _take_changed_targets(self, rows: tuple[StoredRow, ...]) -> None:
        for row in rows:
            entry = self._decode_target(row)
            if entry is not None:
                self._strikes.seen(entry)
                self.beliefs.put_target(entry)
            else:
                self._prober.forget(row.key.key)
                self.beliefs.remove_target(row.key.key)

    def _decode_target(self, row):
        if row.key.part:
            return None
        entry = self._decoders.target(row.key.key, row.value)
        if entry is None and row.value is not None:
            self._log.warning("target_entry_unreadable", target=row.key.key)
        return entry

    def reload(self) -> None:
        """Take SIGHUP: the settings may have changed."""
        self._settings_watch.ask()

    def _apply_settings(self, cfg: GatewaySettings) -> None:
        """Take new settings; those that name addresses need a restart."""
        fields = dataclasses.fields(cfg)
        old = self._cfg
        changed = [
            f.name for f in fields if getattr(cfg, f.name) != getattr(old, f.name)
        ]
        in_force = [name for name in changed if name in CHANGEABLE]
        new_values = {name: getattr(cfg, name) for name in in_force}
        self._cfg = dataclasses.replace(old, **new_values)
        self._rates.apply(self._cfg)
        needs_restart = [name for name in changed if name not in CHANGEABLE]
        self._log.info("settings_taken", in_force=in_force, needs_restart=needs_restart)
