"""Construction of all components of one host from its settings."""

import random
from pathlib import Path

from swifttide_core.membership import ExtensionTimes, HostRow, LeaseTimes
from swifttide_daemon._daemon import Daemon
from swifttide_daemon._health import Health
from swifttide_daemon.calls import CallTable
from swifttide_daemon.configuration import ConfigEditor, ConfigService
from swifttide_daemon.entry import (
    Authenticator,
    CallHandlers,
    Dispatcher,
    Gate,
    ProgramHandlers,
    ProgramRoots,
)
from swifttide_daemon.limits import (
    RateLimiter,
    ShareLoader,
    ShareMover,
    ShareRows,
    ShareService,
)
from swifttide_daemon.membership import LeaseKeeper, MembershipService, OutageService
from swifttide_daemon.operators import OperatorHandlers
from swifttide_daemon.peering import Heartbeat, PeerHandlers, ViewExchange
from swifttide_daemon.peers import PeerClient, PeerProof
from swifttide_daemon.programs import ProgramRegistry, ProgramStore
from swifttide_daemon.recording import Recorder
from swifttide_daemon.retention import CacheReconciler, ProgramJudge
from swifttide_daemon.runners import (
    CallRunner,
    ChatRunner,
    CrashDetector,
    Generator,
    ModelLoader,
    Placer,
    RetryBudgets,
    ServiceRunner,
    ServiceSender,
)
from swifttide_daemon.settings import Settings
from swifttide_daemon.store import PlatformClient, new_id
from swifttide_daemon.strikes import StrikeService
from swifttide_daemon.targets import (
    EngineClient,
    GrantClient,
    QueueService,
    ServiceClient,
    TargetSelector,
)
from swifttide_daemon.telemetry import Telemetry
from swifttide_daemon.web import App, Route, WebServer


class Builder:
    """Creates the components of a host in the order of their dependencies.

    Parameters
    ----------
    settings : Settings
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.rng = random.Random()

    def build(self) -> Daemon:
        """Return a complete host with bound ports, which is inactive until `start`."""
        cfg = self.settings
        self.telemetry = Telemetry.from_settings(cfg)
        self.gate = Gate()
        self._build_platform_side()
        self._build_target_side()
        self._build_runners()
        self._build_entry_side()
        self._bind_servers()
        self._watch_zones()
        return Daemon(
            settings=cfg,
            telemetry=self.telemetry,
            gate=self.gate,
            platform=self.platform,
            config=self.config,
            membership=self.membership,
            table=self.table,
            unrecorded=self.unrecorded,
            services=(
                self.queues,
                self.grants,
                self.mover,
                self.limiter,
                self.caches,
                self.heartbeat,
                self.view_exchange,
            ),
            callers=self.callers,
            peers=self.peer_server,
        )

    def _build_platform_side(self) -> None:
        cfg = self.settings
        secret = Path(cfg.deployment_secret_file).read_bytes().strip()
        self.proof = PeerProof(secret, cfg.host)
        self.peer_client = PeerClient.from_settings(cfg, self.proof)
        self.platform = PlatformClient.from_settings(cfg, self.telemetry)
        self.config = ConfigService.from_settings(cfg, self.platform)
        self.editor = ConfigEditor(self.platform)
        times = LeaseTimes(
            cfg.lease.lease_seconds,
            cfg.lease.renew_seconds,
            cfg.lease.drift_margin_seconds,
        )
        row = HostRow(cfg.host, cfg.zone, new_id(), "", "")
        self.keeper = LeaseKeeper(
            self.platform, row, times, lambda: self.config.version
        )
        self.outages = OutageService(
            self.keeper,
            self.platform,
            self.peer_client,
            ExtensionTimes(promise_seconds=times.lease_seconds),
        )
        self.membership = MembershipService.from_settings(
            cfg, self.platform, self.keeper, self.outages
        )

    def _build_target_side(self) -> None:
        timeouts = self.settings.timeouts
        self.engines = EngineClient.from_settings(timeouts)
        self.service_client = ServiceClient.from_settings(timeouts)
        self.queues = QueueService(self.membership, self.config, self.engines)
        self.grants = GrantClient(self.membership, self.queues, self.peer_client)
        self.board = TargetSelector.from_config(self.config)
        self.strikes = StrikeService(self.membership, self.peer_client)
        self.book = ProgramRegistry(
            ProgramStore(self.platform), self.telemetry.metrics.end_program
        )
        self.caches = CacheReconciler(
            self.membership,
            self.config,
            self.book,
            ProgramJudge(self.config, self.book),
            self.engines,
            self.peer_client,
            self.queues,
        )

    def _build_runners(self) -> None:
        placer = Placer(
            self.board,
            self.grants,
            self.settings.zone,
            self.telemetry.metrics.admit,
        )
        retries = RetryBudgets.from_rng(self.rng)
        crashes = CrashDetector(self.engines, self.strikes)
        generator = Generator(
            placer,
            self.engines,
            retries,
            self.strikes,
            crashes,
            self.telemetry,
            ModelLoader(self.engines, lambda: self.config.version),
            self.book.estimates,
        )
        recorder = Recorder(self.settings.recording.path)
        chats = ChatRunner(
            self.membership,
            self.book,
            generator,
            lambda: self.platform.available,
            recorder,
        )
        sender = ServiceSender(placer, self.service_client, self.telemetry)
        services = ServiceRunner(self.book, sender, retries, self.platform, recorder)
        self.unrecorded = services.unrecorded
        runner = CallRunner(self.config, chats, services, self.telemetry)
        self.table = CallTable(runner.run)

    def _build_entry_side(self) -> None:
        cfg = self.settings
        rows = ShareRows(self.platform)
        self.shares = ShareService(self.membership, self.config, rows, self.peer_client)
        loader = ShareLoader(self.membership, self.config, self.shares)
        self.mover = ShareMover(self.membership, self.config, self.shares, rows, loader)
        self.limiter = RateLimiter(self.membership, self.peer_client, self.shares)
        self.heartbeat = Heartbeat(self.membership, self.config, self.peer_client)
        self.view_exchange = ViewExchange(self.membership, self.peer_client)
        self.authenticator = Authenticator(self.config, cfg.operator_key_hashes)
        lease = cfg.lease
        takeover = 2 * lease.lease_seconds + 2 * lease.drift_margin_seconds
        self.calls = CallHandlers(
            self.gate,
            self.authenticator,
            self.config,
            self.limiter,
            ProgramRoots(self.book.store),
            Dispatcher(self.membership, self.peer_client, self.table, takeover),
            self.telemetry,
        )
        self.programs = ProgramHandlers(
            self.authenticator, self.book, self.config, self.engines
        )
        self.operators = OperatorHandlers(
            self.authenticator, self.config, self.editor, self.platform, self.programs
        )

    def _bind_servers(self) -> None:
        cfg = self.settings
        limits = cfg.limits
        caller_app = App(
            self._caller_routes(),
            limits.max_body_bytes,
            before_body=self.authenticator.refuse_unknown_key,
        )
        handlers = PeerHandlers(
            self.membership,
            self.config,
            self.heartbeat,
            self.table,
            self.shares,
            self.grants,
            self.strikes,
            self.caches,
            self.outages,
        )
        # Between hosts a caller's body is sent as base64, which is a third longer.
        peer_app = App(handlers.routes(), 2 * limits.max_body_bytes, self.proof.check)
        self.callers = WebServer.from_settings(
            cfg.caller_address,
            cfg.caller_port,
            caller_app,
            limits.caller_threads,
            limits,
        )
        self.peer_server = WebServer.from_settings(
            cfg.peer_address, cfg.peer_port, peer_app, limits.peer_threads, limits
        )
        address = cfg.advertise_address
        self.keeper.set_urls(
            f"http://{address}:{self.callers.port}",
            f"http://{address}:{self.peer_server.port}",
        )

    def _caller_routes(self) -> list[Route]:
        operators = self.operators
        documents = "/v1/operator/documents/{kind}"
        programs = "/v1/operator/programs/{customer}/{program}"
        health = Health(
            self.gate,
            self.config,
            self.keeper,
            self.membership,
            self.queues,
            self.caches,
            self.telemetry.metrics,
        )
        return [
            Route("POST", "/v1/chat/completions", self.calls.chat),
            Route("POST", "/v1/services/{service}/{path*}", self.calls.service),
            Route("GET", "/v1/programs/{program}", self.programs.show),
            Route("DELETE", "/v1/programs/{program}", self.programs.end),
            Route("GET", documents, operators.list_documents),
            Route("GET", documents + "/{name}", operators.show_document),
            Route("PUT", documents + "/{name}", operators.put_document),
            Route("GET", "/v1/operator/history", operators.history),
            Route("GET", "/v1/operator/hosts", operators.hosts),
            Route("GET", "/v1/operator/targets", operators.targets),
            Route("GET", programs, operators.show_program),
            Route("DELETE", programs, operators.end_program),
            Route("GET", "/healthz", health.alive),
            Route("GET", "/readyz", health.ready),
            Route("GET", "/metrics", health.metrics),
        ]

    def _watch_zones(self) -> None:
        self.config.add_listener(
            lambda _changes: self.membership.add_known_zones(
                target.zone for target in self.config.targets()
            )
        )
