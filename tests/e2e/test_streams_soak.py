"""Streams of two software versions while hosts and targets come and go, by seed.

``SWIFTTIDE_SOAK_SEEDS=101-150`` plays other seeds than those of CI, and
``SWIFTTIDE_SOAK_HOSTS=40`` more hosts.
"""

import asyncio
import os
import random
import signal
import time
from dataclasses import dataclass, field

import h11
import pytest

from swifttide_standins.print_office import Runner
from tests.e2e._gateway_fleet import GatewayFleet

STORM_SECONDS = 14.0
ZONES = ("za", "zb", "zc")
N_CALLERS = 24
N_EVENTS = 10
EVENT_GAP_SECONDS = 0.04
CALLER_SECONDS = 4.0
MAX_TAKE_UPS = 3
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
"""Time without a disturbance after which a host is expected to serve."""

MIN_JUDGED_STREAMS = 12
"""Streams taken up from which on the users judge the share that goes on."""

ROUTE = {
    "name": "check",
    "host": "shop.example",
    "prefix": "/check/",
    "type": "streaming",
    "resumable": True,
    "timeout_ms": 4000,
    "latency_target_ms": 200,
    "gap_target_ms": 200,
    "priority": 0,
    "service": "engines",
    "max_attempts": 1,
}
SERVICE = {"name": "engines", "runtime": {"chunk_tokens": 10, "capacity": 12}}
DOCUMENT = {"version": 1, "routes": [ROUTE], "services": [SERVICE]}


def chosen_seeds():
    first, _, last = os.environ.get("SWIFTTIDE_SOAK_SEEDS", "1-2").partition("-")
    return range(int(first), int(last or first) + 1)


class Targets:
    """Targets that register, crash, drain and come back at another version."""

    def __init__(self, store, rng):
        self._store = store
        self._rng = rng
        self._number = 0
        self.serving = {}

    async def start(self, version, id=None, port=0):
        """Start a target and register it; return its id."""
        self._number += 1
        id = id or f"t{self._number}"
        runner = Runner(id, "engines", self._rng.choice(ZONES), version)
        runner.script = runner.events(
            N_EVENTS, stamped=True, gap_seconds=EVENT_GAP_SECONDS
        )
        await runner.server.start(port)
        self.serving[id] = runner
        self.write(id, born=self._number)
        return id

    def write(self, id, **changes):
        self._store.rows.put("servers", id, self.serving[id].entry(**changes))

    def n_serving(self, version):
        return sum(runner.version == version for runner in self.serving.values())

    async def crash(self, id):
        """End a target without a word; its entry stays for a while."""
        runner = self.serving.pop(id)
        await runner.server.stop()
        return runner

    async def drain(self, id):
        """Announce a target's end and end it once its streams have."""
        self.write(id, state="draining")
        runner = self.serving.pop(id)
        await asyncio.sleep(DRAIN_SECONDS)
        self._store.rows.remove("servers", id)
        await runner.server.stop()

    async def stop(self):
        for id in list(self.serving):
            await self.crash(id)


class Storm:
    """Events of one seed that overlap each other."""

    def __init__(self, fleet, targets, rng):
        self.fleet = fleet
        self.targets = targets
        self.rng = rng
        self.versions = ["v1", "v2"]
        self.disturbed_until = dict.fromkeys(fleet.hosts, 0.0)
        self.store_disturbed_until = 0.0

    async def play(self):
        events = [self.crash_target, self.replace_target, self.lose_host]
        events += [self.pause_host, self.stop_host, self.lose_store, self.lose_many]
        until = time.monotonic() + STORM_SECONDS
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < until:
                tasks.create_task(self.rng.choice(events)())
                await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    def is_in_touch(self, host):
        now = time.monotonic()
        until = max(self.disturbed_until[host], self.store_disturbed_until)
        return now - until >= CONTACT_SECONDS

    async def crash_target(self):
        """Crash a target; it returns, perhaps at its address or under its id."""
        if len(self.targets.serving) < 4:
            return
        runner = await self.targets.crash(self.rng.choice([*self.targets.serving]))
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        how = self.rng.choice(("same", "id", "address"))
        if how == "same":
            await self.targets.start(runner.version)
        elif how == "id":
            # It registers before it serves, as a target does that starts anew.
            entry = Runner(runner.id, "engines", runner.zone, self.any_version())
            self.fleet.store.rows.remove("servers", runner.id)
            await asyncio.sleep(self.rng.uniform(1.0, 2.0))
            await self.targets.start(entry.version, runner.id)
        else:
            try:
                await self.targets.start(self.any_version(), port=runner.server.port)
            except OSError:
                await self.targets.start(runner.version)
        if runner.id not in self.targets.serving:
            self.fleet.store.rows.remove("servers", runner.id)

    async def replace_target(self):
        """Start a target of another version, then drain one."""
        if self.rng.random() < 0.2:
            self.versions = [self.versions[1], f"v{len(self.versions[1]) + 99}"]
        await self.targets.start(self.any_version())
        if len(self.targets.serving) > 5:
            await self.targets.drain(self.rng.choice([*self.targets.serving]))

    async def lose_host(self):
        await self.end_host(self.rng.choice(self.fleet.hosts), signal.SIGKILL)

    async def lose_many(self):
        """Kill a host of each zone, or most hosts, at the same moment."""
        share = self.rng.choice((0.3, 0.6))
        n_lost = round(share * len(self.fleet.hosts))
        lost = self.rng.sample(self.fleet.hosts, n_lost)
        await asyncio.gather(*(self.end_host(h, signal.SIGKILL) for h in lost))

    async def stop_host(self):
        await self.end_host(self.rng.choice(self.fleet.hosts), signal.SIGTERM)

    async def end_host(self, host, number):
        self.disturbed_until[host] = float("inf")
        # Another event may start the host anew before this one sees its end.
        process = self.fleet.signal(host, number)
        while process.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        if not self.fleet.is_running(host):
            self.fleet.start_host(host)
        self.disturbed_until[host] = time.monotonic()

    async def pause_host(self):
        host = self.rng.choice(self.fleet.hosts)
        self.disturbed_until[host] = float("inf")
        self.fleet.signal(host, signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        self.fleet.signal(host, signal.SIGCONT)
        self.disturbed_until[host] = time.monotonic()

    async def lose_store(self):
        self.store_disturbed_until = float("inf")
        self.fleet.store.refuse = True
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.fleet.store.refuse = False
        self.store_disturbed_until = time.monotonic()

    def any_version(self):
        return self.rng.choice(self.versions)


@dataclass
class Stream:
    """What a caller got of one stream.

    Parameters
    ----------
    name : str
    first_attempt : str
        Attempt that got the first event.
    parts : list of (str, str, list of (int, str))
        For each attempt that got any event its id, its host, and id and version of
        each event.
    """

    name: str
    first_attempt: str = ""
    parts: list = field(default_factory=list)
    is_whole: bool = False

    @property
    def events(self):
        return [event for _, _, events in self.parts for event in events]


@dataclass
class Tally:
    """Streams that were asked of hosts in touch, and those that got an event."""

    new: int = 0
    begun: int = 0
    taken_up: int = 0
    gone_on: int = 0


class Callers:
    """Callers who take broken streams up, also ones that they broke off themselves."""

    def __init__(self, fleet, targets, storm, rng):
        self.fleet = fleet
        self.targets = targets
        self.storm = storm
        self.rng = rng
        self.streams = []
        self.tally = Tally()
        self.ended = False

    async def run(self):
        async with asyncio.TaskGroup() as tasks:
            for number in range(N_CALLERS):
                tasks.create_task(self.call(number))

    async def call(self, number):
        n_streams = 0
        while not self.ended:
            n_streams += 1
            stream = Stream(f"{number}-{n_streams}")
            for attempt in range(1 + MAX_TAKE_UPS):
                await self.try_once(stream, f"a{stream.name}-{attempt}")
                if stream.is_whole:
                    break
            if stream.parts:
                self.streams.append(stream)
            await asyncio.sleep(self.rng.uniform(0.0, 0.1))

    async def try_once(self, stream, attempt):
        """Send a request for a stream or its rest; read until it ends or breaks."""
        host = await self.ready_host()
        if host is None:
            await asyncio.sleep(0.1)
            return
        is_judged, is_new = self.storm.is_in_touch(host), not stream.parts
        if not is_new:
            is_judged &= self.targets.n_serving(stream.events[0][1]) >= 2
        leave_after = self.rng.choice((None, None, self.rng.randrange(1, N_EVENTS)))
        events, is_whole = await self.read(host, stream, attempt, leave_after)
        is_judged &= self.storm.is_in_touch(host)
        if not is_new:
            is_judged &= self.targets.n_serving(stream.events[0][1]) >= 2
        if is_judged:
            self.count(is_new, bool(events) or is_whole)
        if events:
            stream.first_attempt = stream.first_attempt or attempt
            stream.parts.append((attempt, host, events))
        stream.is_whole = is_whole

    def count(self, is_new, has_event):
        if is_new:
            self.tally.new += 1
            self.tally.begun += has_event
        else:
            self.tally.taken_up += 1
            self.tally.gone_on += has_event

    async def ready_host(self):
        hosts = self.rng.sample(self.fleet.hosts, len(self.fleet.hosts))
        for host in hosts:
            if await self.fleet.is_ready(host):
                return host
        return None

    async def read(self, host, stream, attempt, leave_after):
        """Return the events of one attempt, and whether the stream came to its end."""
        # Equal requests would share a fingerprint, and all be held to crash targets.
        prompt = stream.name.encode()
        head = [
            ("Host", "shop.example"),
            ("Swifttide-Attempt-Id", attempt),
            ("Swifttide-Deadline-Ms", str(int(CALLER_SECONDS * 1000))),
            ("Swifttide-Affinity-Key", stream.name),
            ("Content-Length", str(len(prompt))),
        ]
        if stream.parts:
            head.append(("Resumes", stream.first_attempt))
            head.append(("Last-Event-Id", str(stream.events[-1][0])))
        body = bytearray()
        status, is_whole = None, False
        try:
            async with asyncio.timeout(CALLER_SECONDS):
                reader, writer = await self.fleet.connect(host)
                http = h11.Connection(h11.CLIENT)
                request = h11.Request(method="POST", target="/check/1", headers=head)
                writer.write(http.send(request) + http.send(h11.Data(data=prompt)))
                writer.write(http.send(h11.EndOfMessage()))
                try:
                    while not is_whole:
                        match http.next_event():
                            case h11.Response(status_code=status):
                                continue
                            case h11.Data(data=data):
                                body += data
                                if status != 200 or body.count(b"\n\n") == leave_after:
                                    break
                            case h11.EndOfMessage():
                                is_whole = status == 200
                                break
                            case h11.ConnectionClosed():
                                break
                            case _:
                                http.receive_data(await reader.read(65_536))
                finally:
                    writer.close()
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            pass
        return parse_events(bytes(body)) if status == 200 else [], is_whole


def parse_events(body):
    """Return id and version of each complete event."""
    found = []
    for event in body.split(b"\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
        found.append((int(fields["id"]), fields["data"].split()[1]))
    return found


class TestStreamsSoak:
    @pytest.mark.parametrize("seed", chosen_seeds())
    def test_streams_go_on_at_the_version_that_began_them(self, tmp_path, seed):
        """Guards against streams joined from two versions, and against streams that
        can't be taken up although their version serves.
        """
        streams, tally = asyncio.run(self.play(tmp_path, seed))
        assert len(streams) > 100
        for stream in streams:
            assert len({version for _, version in stream.events}) == 1, stream
            numbers = [number for number, _ in stream.events]
            assert numbers == list(range(1, len(numbers) + 1)), stream
            if stream.is_whole:
                assert len(numbers) == N_EVENTS, stream
        print(f"seed {seed}: {len(streams)} streams, {tally}")
        if tally.taken_up >= MIN_JUDGED_STREAMS:
            share_begun = tally.begun / tally.new
            assert tally.gone_on / tally.taken_up >= 0.5 * share_begun, tally

    async def play(self, directory, seed):
        rng = random.Random(seed)
        n_hosts = int(os.environ.get("SWIFTTIDE_SOAK_HOSTS", "6"))
        fleet = GatewayFleet(directory, n_hosts, ZONES, DOCUMENT)
        targets = Targets(fleet.store, rng)
        try:
            for version in ("v1", "v1", "v1", "v2", "v2"):
                await targets.start(version)
            await fleet.start()
            storm = Storm(fleet, targets, rng)
            callers = Callers(fleet, targets, storm, rng)
            calling = asyncio.create_task(callers.run())
            await storm.play()
            await asyncio.sleep(CONTACT_SECONDS + 1.0)
            callers.ended = True
            await calling
            return callers.streams, callers.tally
        finally:
            await targets.stop()
            await fleet.stop()
