"""Hosts, engines and callers of programs on a paused clock, for loads beyond capacity.

The hosts run the gateway's own decisions: admission, budgets, placement, retries. Only
what lies at their edges is replaced: connections, and the store by one in memory.
"""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from swifttide_core.forwarding import (
    RequestKind,
    Route,
    RoutingConfig,
    ServiceSpec,
    TargetEntry,
    WeightedService,
)
from swifttide_daemon.gateway._admission import Admission
from swifttide_daemon.gateway._answer_relay import AnswerRelay
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway._caller_request import CallerRequest, TurnTerms
from swifttide_daemon.gateway._forwarder import Forwarder
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway._program_entry import ProgramEntry
from swifttide_daemon.gateway._row_reaper import RowReaper
from swifttide_daemon.gateway._settings import GatewaySettings
from swifttide_daemon.gateway._strike_keeper import StrikeKeeper
from swifttide_daemon.gateway._target_answer import (
    AnswerHead,
    NotRun,
    TargetFailure,
)
from swifttide_daemon.gateway._target_health import TargetHealth

SERVICE = "models"
PLACES = 12
"""Turns that an engine runs at once; as many wait there, what is beyond is shed."""

TURN_SECONDS = 0.25
N_TURNS = 4
PAUSE_SECONDS = 0.08
"""Between the turns of a program."""

AIM_SECONDS = 1.6 * (N_TURNS * TURN_SECONDS + (N_TURNS - 1) * PAUSE_SECONDS) + 0.2
"""Time in which a program should end; after twice that its caller gives up."""

BEACON_SECONDS = 0.2
N_EVENTS = 2

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


class Engine:
    """Runs turns in order of arrival, some at once, and sheds what it can't queue."""

    def __init__(self, number: int):
        self.entry = TargetEntry(
            f"engine-{number}", SERVICE, f"10.9.0.{number}", 1, "zone-a", PLACES
        )
        self.free = asyncio.Semaphore(PLACES)
        self.n_waiting = 0
        self.n_arrived = 0
        self.n_shed = 0

    async def begin(self) -> None:
        """Wait for a place; raises `TargetFailure` where too many wait."""
        self.n_arrived += 1
        if self.free.locked() and self.n_waiting >= PLACES:
            self.n_shed += 1
            raise TargetFailure(NotRun("refused with 503"))
        self.n_waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.n_waiting -= 1


class Exchange:
    """One turn at an engine, as the gateway's client shows it."""

    def __init__(self, engine: Engine):
        self.target = engine.entry
        self.head = AnswerHead(200, (), stamp=b"mark")
        self.complete = False
        self._engine = engine
        self._left = N_EVENTS

    async def read_piece(self) -> bytes | None:
        """Return the next event; None at the end."""
        if not self._left:
            self._end()
            return None
        await asyncio.sleep(TURN_SECONDS / N_EVENTS)
        self._left -= 1
        number = N_EVENTS - self._left
        return f"id: {number}\ndata: x\n\n".encode()

    def cancel(self) -> None:
        """Free the place."""
        self._end()

    def _end(self):
        if not self.complete:
            self.complete = True
            self._engine.free.release()


class Client:
    """Carries turns to engines."""

    def __init__(self, engines: dict[str, Engine]):
        self._engines = engines

    async def connect(self, target: TargetEntry) -> Engine:
        return self._engines[target.id]

    async def send(self, engine, *_) -> Exchange:
        await engine.begin()
        return Exchange(engine)


class Wire:
    """Header fields that nobody reads."""

    def target_fields(self, *_):
        return []

    def answer_fields(self, _):
        return []

    def refusal_fields(self, _, retry_after):
        return [(b"retry", str(retry_after).encode())]


class Channel:
    """What one caller gets."""

    def __init__(self):
        self.started = False
        self.status = 0
        self.retry_after = None
        self.is_whole = False

    async def start(self, status, fields, length):
        self.started, self.status = True, status

    async def write(self, piece):
        """Nothing to do."""

    async def finish(self):
        self.is_whole = True

    async def answer(self, status, fields, body):
        self.status = status
        text = dict(fields).get(b"retry", b"None")
        self.retry_after = None if text == b"None" else float(text)

    def break_off(self):
        self.is_whole = False


class Host:
    """The gateway's decisions at one host, from its start on."""

    def __init__(self, ip: str, engines: dict[str, Engine], store, log):
        cfg = GatewaySettings(ip, "zone-a", ip, 1, 2, 3, 4, "10.0.1.1", 5)
        self.beliefs = Beliefs(lambda target_id: None, log)
        self.beliefs.take_config(CONFIG, "store")
        entries = {e.entry.id: e.entry for e in engines.values()}
        self.beliefs.replace_targets(entries)
        self.health = TargetHealth(lambda target_id: False)
        budgets = BudgetKeeper(
            store, ip, _nothing, _nothing, _released, RowReaper(store, log), log
        )
        strikes = StrikeKeeper(log)
        metrics = GatewayMetrics(ip, "zone-a")
        wire = Wire()
        relay = AnswerRelay(wire, None, lambda: None, self.beliefs, metrics, log)
        entry = ProgramEntry(self.beliefs, self.health, log)
        self.forwarder = Forwarder(
            cfg,
            self.beliefs,
            wire,
            Client(engines),
            self.health,
            Admission(self.beliefs, budgets, None, None, strikes, entry),
            relay,
            lambda: None,
            strikes,
            metrics,
            log,
        )


async def _nothing(*_) -> int:
    return 0


async def _released(*_) -> bool:
    return True


@dataclass
class Outcomes:
    """Programs by the second at which they began."""

    begun: list[float] = field(default_factory=list)
    in_time: list[float] = field(default_factory=list)
    refusals: list[tuple[float, float | None]] = field(default_factory=list)
    """Seconds until each refusal, and its time to come back."""

    def count(self, times: list[float], start: float, end: float) -> int:
        """Return how many of the times lie within the span."""
        return sum(start <= t < end for t in times)


class Fleet:
    """Hosts that tell each other of requests under way, and their callers."""

    def __init__(self, n_hosts: int, n_engines: int, store, log, seed: int):
        self.engines = {e.entry.id: e for e in map(Engine, range(n_engines))}
        self.outcomes = Outcomes()
        self._store, self._log = store, log
        self._random = random.Random(seed)
        # The gateway draws its times to come back from the shared generator.
        random.seed(seed)
        self._ips = [f"10.0.0.{i}" for i in range(n_hosts)]
        self._hosts: dict[str, Host] = {}
        # In the order of their requests, so that each run of a seed is the same.
        self._handling: dict[asyncio.Task, None] = {}
        self._attempts = itertools.count()
        self._began_at = asyncio.get_running_loop().time()
        self.start_all()

    def start_all(self) -> None:
        """Start all hosts, with nothing in memory."""
        for ip in self._ips:
            self._hosts[ip] = Host(ip, self.engines, self._store, self._log)

    def lose_all(self) -> None:
        """Kill all hosts with what they are doing."""
        self._hosts.clear()
        for task in self._handling:
            task.cancel()
        self._handling.clear()

    def take_engines(self, count: int) -> None:
        """Take engines out of service; what they run is finished."""
        for target_id in list(self.engines)[:count]:
            for host in self._hosts.values():
                host.beliefs.remove_target(target_id)
            # Hosts that start later find it gone from the store.
            self.engines = {k: e for k, e in self.engines.items() if k != target_id}

    def fill_engines(self, count: int) -> None:
        """Let all hosts believe that each engine has requests of a host elsewhere."""
        counts = dict.fromkeys(self.engines, count)
        for host in self._hosts.values():
            host.health.told("elsewhere", counts, 60.0)

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return asyncio.get_running_loop().time() - self._began_at

    async def tell(self) -> None:
        """Exchange beacons until cancelled."""
        while True:
            await asyncio.sleep(BEACON_SECONDS)
            counts = {ip: h.health.own_counts() for ip, h in self._hosts.items()}
            for ip, host in self._hosts.items():
                for other, told in counts.items():
                    if other != ip:
                        host.health.told(other, told, BEACON_SECONDS)

    async def load(self, per_second: float, until: float) -> None:
        """Begin programs at random moments."""
        async with asyncio.TaskGroup() as tasks:
            for number in itertools.count():
                await asyncio.sleep(self._random.expovariate(per_second))
                if self.now >= until:
                    return
                tasks.create_task(self._program(f"program-{number}"))

    async def _program(self, name):
        began = self.now
        self.outcomes.begun.append(began)
        for _ in range(N_TURNS):
            if not await self._turn(name, began):
                return
            await asyncio.sleep(PAUSE_SECONDS)
        if self.now - PAUSE_SECONDS - began <= AIM_SECONDS:
            self.outcomes.in_time.append(began)

    async def _turn(self, name, began) -> bool:
        """Send a turn, and after a failure up to twice more."""
        for _ in range(3):
            left = began + 2 * AIM_SECONDS - self.now
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

    async def ask(self, name, left) -> Channel | None:
        """Send a turn to some host; None if there was no whole answer in time."""
        if not self._hosts:
            return None
        host = self._hosts[self._random.choice(list(self._hosts))]
        channel, sent_at = Channel(), self.now
        turn = TurnTerms(name, "line", 1_000, 10)
        req = CallerRequest(
            f"attempt-{next(self._attempts)}",
            "POST",
            b"/",
            "chat",
            (),
            b"",
            asyncio.get_running_loop().time(),
            patience_seconds=left,
            turn=turn,
        )
        handling = asyncio.create_task(host.forwarder.handle(req, channel))
        self._handling[handling] = None
        await asyncio.wait((handling,), timeout=left)
        if not handling.done():
            handling.cancel()
            await asyncio.wait((handling,))
        self._handling.pop(handling, None)
        if handling.cancelled():
            return None
        if channel.status == 503:
            self.outcomes.refusals.append((self.now - sent_at, channel.retry_after))
        return channel
