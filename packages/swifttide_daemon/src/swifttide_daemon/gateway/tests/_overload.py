"""Simulates hosts, engines and callers of programs on a paused clock under overload.

The hosts run the gateway's own code for admission, budgets, placement and retries. Only
their outer interfaces are replaced: connections by simulated ones, and the store by one
in memory.
"""

import asyncio
import contextlib
import functools
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from swifttide_core.forwarding import (
    RequestKind,
    Route,
    RoutingConfig,
    ServiceSpec,
    TargetEntry,
    WeightedService,
)
from swifttide_core.scheduling import TurnScheduler
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway._settings import GatewaySettings
from swifttide_daemon.gateway.budgets._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway.callers._admission import Admission
from swifttide_daemon.gateway.callers._answer_relay import AnswerRelay
from swifttide_daemon.gateway.callers._caller_request import CallerRequest, TurnTerms
from swifttide_daemon.gateway.callers._forwarder import Forwarder
from swifttide_daemon.gateway.callers._program_entry import ProgramEntry
from swifttide_daemon.gateway.peers._keeper_choice import KeeperChoice
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.store._row_reaper import RowReaper
from swifttide_daemon.gateway.targets._cold_targets import ColdTargets
from swifttide_daemon.gateway.targets._scheduler_endpoint import SchedulerEndpoint
from swifttide_daemon.gateway.targets._strike_keeper import StrikeKeeper
from swifttide_daemon.gateway.targets._target_health import TargetHealth
from swifttide_daemon.gateway.tests._hosts import FeedsInStep
from swifttide_daemon.gateway.tests._overload_engines import (
    SERVICE,
    TURN_SECONDS,
    Engine,
    EngineClient,
    FakeChannel,
    FakeFields,
)

N_TURNS = 4
TURN_PAUSE_SECONDS = 0.08
"""Pause between two turns of a program."""

PROGRAM_TARGET_SECONDS = (
    1.6 * (N_TURNS * TURN_SECONDS + (N_TURNS - 1) * TURN_PAUSE_SECONDS) + 0.2
)
"""Time in which a program should end. Its caller gives up after twice this time."""

BEACON_SECONDS = 0.2
DATAGRAM_SECONDS = 0.001
MAX_DUPLICATE_DELAY_SECONDS = 1.0
BOOT_NUMBERS = itertools.count()

ROUTE = Route(
    name="chat",
    host="chat",
    prefix="/",
    kind=RequestKind.STREAMING,
    services=(WeightedService(SERVICE, 1.0),),
    timeout_seconds=4.0,
    objective_seconds=0.2,
    max_attempts=2,
)
CONFIG = RoutingConfig(1, (ROUTE,), (ServiceSpec(SERVICE, tokens_per_event=1),))


COLD_EXCESS = 1.5
COLD_EXTRA = 5.0


def entries_of(engines: dict[str, Engine]) -> dict[str, TargetEntry]:
    """Return the target entries of the engines by id."""
    return {target_id: engine.entry for target_id, engine in engines.items()}


class Host:
    """One host with the gateway's own decision code, as it is after a start."""

    def __init__(
        self,
        ip: str,
        engines,
        all_engines,
        store,
        log,
        entry_type,
        wires,
        config,
        new_scheduler,
    ):
        cfg = GatewaySettings(ip, "zone-a", ip, 1, 2, 3, 4, "10.0.1.1", 5)
        cold = ColdTargets(COLD_EXCESS, COLD_EXTRA, log)
        self.beliefs = Beliefs(lambda target_id: None, log, cold=cold)
        self.beliefs.apply_config(config, "store")
        self.beliefs.replace_targets(entries_of(engines))
        self.health = TargetHealth(lambda target_id: False)
        heard = FakeMembership(ip, wires)
        self.scheduling = SchedulerEndpoint(
            heard,
            KeeperChoice(heard, wires.ips_heard),
            self.beliefs,
            self.health,
            functools.partial(wires.send_datagram, ip),
            log,
            new_scheduler,
        )
        self.scheduling_task = asyncio.create_task(self.scheduling.server.run())
        budgets = BudgetKeeper(
            store,
            ip,
            _return_zero,
            _return_zero,
            RowReaper(store, log),
            log,
        )
        strikes = StrikeKeeper(log)
        metrics = GatewayMetrics(ip, "zone-a")
        wire = FakeFields()
        relay = AnswerRelay(
            wire, None, None, None, lambda: None, self.beliefs, metrics, log
        )
        entry = entry_type(self.beliefs, self.health, self.scheduling.client, log)
        self.forwarder = Forwarder(
            cfg,
            self.beliefs,
            wire,
            EngineClient(all_engines),
            self.health,
            self.scheduling.client,
            heard,
            Admission(self.beliefs, budgets, None, None, strikes, entry, None, None),
            relay,
            lambda: None,
            strikes,
            FeedsInStep(),
            metrics,
            log,
        )


class FakeMembership:
    """Replaces the gateway's fleet of hosts; each host of the simulation is heard."""

    def __init__(self, ip: str, wires):
        self.own = Peer(ip, 1, "zone-a", f"boot-{next(BOOT_NUMBERS)}")
        self._wires = wires

    def is_heard(self, ip: str) -> bool:
        return ip in self._wires.ips_heard()

    def heard_fraction(self) -> float:
        return 1.0

    def n_hosts(self) -> int:
        return len(self._wires.ips_heard())

    def by_ip(self, ip: str) -> Peer | None:
        return Peer(ip, 1, "zone-a", "") if self.is_heard(ip) else None


async def _return_zero(*_) -> int:
    return 0


@dataclass(frozen=True, slots=True)
class Refused:
    """A turn that was refused with status 503.

    Parameters
    ----------
    attempt, program, reason : str
    at : float
        Time at which it was sent, in seconds from the start.
    seconds : float
        Time until its caller received the refusal.
    retry_after : float or None
        Seconds after which the caller may retry.
    """

    attempt: str
    program: str
    reason: str
    at: float
    seconds: float
    retry_after: float | None


@dataclass
class Outcomes:
    """Start times of the programs, and the turns that were refused."""

    started: list[float] = field(default_factory=list)
    finished_in_time: list[float] = field(default_factory=list)
    first_answered_at: dict[str, float] = field(default_factory=dict)
    """Time at which the first turn of each program was answered."""
    refusals: list[Refused] = field(default_factory=list)

    def count(self, times: list[float], start: float, end: float) -> int:
        """Return how many of the times lie from ``start`` to before ``end``."""
        return sum(start <= t < end for t in times)


class Fleet:
    """Hosts that report their requests under way to each other, and their callers."""

    def __init__(
        self,
        n_hosts: int,
        n_engines: int,
        store,
        log,
        seed: int,
        entry_type: type[ProgramEntry] = ProgramEntry,
        config: RoutingConfig = CONFIG,
        new_scheduler: Callable = TurnScheduler,
    ):
        self.engines = {e.entry.id: e for e in map(Engine, range(n_engines))}
        self.outcomes = Outcomes()
        self._store, self._log, self._entry_type = store, log, entry_type
        self._config, self._new_scheduler = config, new_scheduler
        self._random = random.Random(seed)
        # The gateway draws its retry times from the global random generator.
        random.seed(seed)
        self._all_engines = dict(self.engines)
        self.ips = [f"10.0.0.{i}" for i in range(n_hosts)]
        self._hosts: dict[str, Host] = {}
        # IP address of the host by task. The order is that of the requests, so that
        # all runs with the same seed are equal.
        self._handling: dict[asyncio.Task, str] = {}
        self._attempts = itertools.count()
        self.drops: Callable[[str, str, object], bool] = lambda *_: False
        """Whether a datagram is lost, by its sender, recipient and content."""
        self.lost_fraction = 0.0
        """Fraction of the beacons and other datagrams that are lost."""
        self.duplicated_fraction = 0.0
        """Fraction of the datagrams other than beacons that arrive twice."""
        self._began_at = asyncio.get_running_loop().time()
        self.start_all()

    def start_all(self) -> None:
        """Start all hosts without any earlier state in memory."""
        for ip in self.ips:
            self.start(ip)

    def start(self, ip: str) -> None:
        """Start a host without any earlier state in memory."""
        self._hosts[ip] = Host(
            ip,
            self.engines,
            self._all_engines,
            self._store,
            self._log,
            self._entry_type,
            self,
            self._config,
            self._new_scheduler,
        )

    def kill_all(self) -> None:
        """Kill all hosts and cancel their requests."""
        for ip in self.ips:
            self.kill(ip)

    def kill(self, ip: str) -> None:
        """Kill a host and cancel its requests."""
        host = self._hosts.pop(ip, None)
        if host is not None:
            host.scheduling_task.cancel()
        for task in [t for t, at in self._handling.items() if at == ip]:
            del self._handling[task]
            task.cancel()

    def publish_entry(self, entry: TargetEntry) -> None:
        """Deliver an engine's new entry to all hosts."""
        for host in self._hosts.values():
            host.beliefs.put_target(entry)

    def remove_engines(self, count: int) -> None:
        """Take engines out of service; their running turns are finished."""
        for target_id in list(self.engines)[:count]:
            for host in self._hosts.values():
                host.beliefs.remove_target(target_id)
            # Hosts that start later do not find the engine in the store.
            self.engines = {k: e for k, e in self.engines.items() if k != target_id}

    def return_engines(self) -> None:
        """Put all engines back into service."""
        self.engines = dict(self._all_engines)
        for host in self._hosts.values():
            host.beliefs.replace_targets(entries_of(self.engines))

    def start_missing(self) -> None:
        """Start the hosts that are not running."""
        for ip in self.ips:
            if ip not in self._hosts:
                self.start(ip)

    @contextlib.contextmanager
    def frozen(self, ip: str):
        """Stop a host from sending and receiving; callers use the other hosts."""
        host = self._hosts.pop(ip, None)
        try:
            yield
        finally:
            if host is not None and ip not in self._hosts:
                self._hosts[ip] = host

    def started_attempts(self) -> set[str]:
        """Return the ids of the attempts that engines began to run."""
        return {a for e in self._all_engines.values() for a in e.started_attempts}

    def report_engine_load(self, count: int, pause_seconds: float = 60.0) -> None:
        """Report to all hosts that a host elsewhere has requests at each engine."""
        counts = dict.fromkeys(self.engines, count)
        for host in self._hosts.values():
            host.health.update_remote_counts("elsewhere", counts, pause_seconds)

    def host(self, ip: str) -> Host:
        """Return a running host."""
        return self._hosts[ip]

    def ips_heard(self) -> tuple[str, ...]:
        """Return all hosts; the loss of a host is detected only after some time."""
        return tuple(self.ips)

    def send_datagram(self, sender: str, ip: str, message) -> None:
        """Deliver a datagram after a delay, unless it is lost; it may arrive twice."""
        if sender not in self._hosts or self.drops(sender, ip, message):
            return
        if self._random.random() < self.lost_fraction:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(DATAGRAM_SECONDS, self._deliver, sender, ip, message)
        if self._random.random() < self.duplicated_fraction:
            late = DATAGRAM_SECONDS + self._random.uniform(
                0.0, MAX_DUPLICATE_DELAY_SECONDS
            )
            loop.call_later(late, self._deliver, sender, ip, message)

    def deliver_forged(self, message) -> None:
        """Deliver a message to all hosts with another host as its sender."""
        for ip in self._hosts:
            self._deliver(self._random.choice(self.ips), ip, message)

    def _deliver(self, sender, ip, message):
        host = self._hosts.get(ip)
        if host is not None:
            host.scheduling.handle_message(message, sender)

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return asyncio.get_running_loop().time() - self._began_at

    async def exchange_beacons(self) -> None:
        """Exchange beacons until cancelled."""
        while True:
            await asyncio.sleep(BEACON_SECONDS)
            counts = {ip: h.health.own_counts() for ip, h in self._hosts.items()}
            for ip, host in self._hosts.items():
                for other, told in counts.items():
                    if other != ip and self._random.random() >= self.lost_fraction:
                        host.health.update_remote_counts(other, told, BEACON_SECONDS)
                        host.scheduling.server.reconcile_counts(other, told)

    async def load(
        self, per_second: float, until: float, prefix: str = "program"
    ) -> None:
        """Start programs at random times with a mean rate of ``per_second``."""
        async with asyncio.TaskGroup() as tasks:
            for number in itertools.count():
                await asyncio.sleep(self._random.expovariate(per_second))
                if self.now >= until:
                    return
                tasks.create_task(self._program(f"{prefix}-{number}"))

    async def _program(self, name):
        began = self.now
        self.outcomes.started.append(began)
        for _ in range(N_TURNS):
            if not await self._turn(name, began):
                return
            await asyncio.sleep(TURN_PAUSE_SECONDS)
        if self.now - TURN_PAUSE_SECONDS - began <= PROGRAM_TARGET_SECONDS:
            self.outcomes.finished_in_time.append(began)

    async def _turn(self, name, began) -> bool:
        """Send a turn, and retry it up to twice after a failure."""
        for _ in range(3):
            left = began + 2 * PROGRAM_TARGET_SECONDS - self.now
            if left <= 0:
                return False
            channel = await self.ask(name, left)
            if channel is not None and channel.is_whole:
                return True
            wait = self._random.uniform(0.1, 0.4)
            if channel is not None and channel.retry_after is not None:
                wait = max(wait, min(channel.retry_after, left / 3))
            await asyncio.sleep(wait)
        return False

    async def ask(self, name, left) -> FakeChannel | None:
        """Send a turn to a random host.

        Returns the caller's channel, or None if no host runs or the host was lost or
        did not finish in time.
        """
        if not self._hosts:
            return None
        ip = self._random.choice(list(self._hosts))
        host = self._hosts[ip]
        channel, sent_at = FakeChannel(), self.now
        turn = TurnTerms(name, "line", 1_000, 10)
        req = CallerRequest(
            f"attempt-{next(self._attempts)}",
            "POST",
            b"/",
            "chat",
            (),
            b"",
            asyncio.get_running_loop().time(),
            timeout_seconds=left,
            program_seconds_left=left - PROGRAM_TARGET_SECONDS,
            turn=turn,
        )
        handling = asyncio.create_task(host.forwarder.handle(req, channel))
        self._handling[handling] = ip
        await asyncio.wait((handling,), timeout=left)
        if not handling.done():
            handling.cancel()
            await asyncio.wait((handling,))
        self._handling.pop(handling, None)
        if handling.cancelled():
            return None
        if channel.status == 503:
            seconds = self.now - sent_at
            self.outcomes.refusals.append(
                Refused(
                    req.id,
                    name,
                    channel.reason,
                    sent_at,
                    seconds,
                    channel.retry_after,
                )
            )
        elif channel.is_whole:
            self.outcomes.first_answered_at.setdefault(name, self.now)
        return channel
