"""Streams of two software versions while hosts and targets come and go, by seed.

``SWIFTTIDE_SOAK_SEEDS=101-150`` plays other seeds than those of CI, and
``SWIFTTIDE_SOAK_HOSTS=40`` more hosts.
"""

import asyncio
import random
import signal
import time

import h11
import pytest

from swifttide_standins.print_office import Runner
from tests.e2e._gateway_fleet import GatewayFleet
from tests.e2e._streams import (
    CONTACT_SECONDS,
    N_EVENTS,
    ZONES,
    CallerConnection,
    Stream,
    Tally,
    Targets,
    chosen_n_hosts,
    chosen_seeds,
    request_fields,
    service_entry,
    streaming_route,
)

STORM_SECONDS = 14.0
N_CALLERS = 24
CALLER_SECONDS = 4.0
MAX_TAKE_UPS = 3
TIMEOUT_SECONDS = 4.0

DOCUMENT = {
    "version": 1,
    "routes": [streaming_route("engines", TIMEOUT_SECONDS)],
    "services": [service_entry("engines")],
}


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
            self.targets.remove_entry(runner.id)
            await asyncio.sleep(self.rng.uniform(1.0, 2.0))
            await self.targets.start(entry.version, runner.id)
        else:
            try:
                await self.targets.start(self.any_version(), port=runner.server.port)
            except OSError:
                await self.targets.start(runner.version)
        if runner.id not in self.targets.serving:
            self.targets.remove_entry(runner.id)

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
            is_judged &= self.targets.n_serving(stream.version) >= 2
        leave_after = self.rng.choice((None, None, self.rng.randrange(1, N_EVENTS)))
        events, is_whole = await self.read(host, stream, attempt, leave_after)
        is_judged &= self.storm.is_in_touch(host)
        if not is_new:
            is_judged &= self.targets.n_serving(stream.version) >= 2
        if is_judged:
            self.tally.count(is_new, bool(events) or is_whole)
        stream.add(attempt, host, events, is_whole)

    async def ready_host(self):
        hosts = self.rng.sample(self.fleet.hosts, len(self.fleet.hosts))
        for host in hosts:
            if await self.fleet.is_ready(host):
                return host
        return None

    async def read(self, host, stream, attempt, leave_after):
        """Return the events of one attempt, and whether the stream came to its end."""
        fields = request_fields(stream, attempt, CALLER_SECONDS)
        # Equal requests would share a fingerprint, and all be held to crash targets.
        prompt = stream.name.encode()
        conn, is_whole = None, False
        try:
            async with asyncio.timeout(CALLER_SECONDS):
                conn = CallerConnection(*await self.fleet.connect(host))
                is_whole = await conn.stream("/check/1", fields, prompt, leave_after)
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            pass
        finally:
            if conn is not None:
                conn.close()
        return conn.events() if conn is not None else [], is_whole


class TestStreamsSoak:
    @pytest.mark.parametrize("seed", chosen_seeds())
    def test_streams_go_on_at_the_version_that_began_them(self, tmp_path, seed):
        """Guards against streams joined from two versions, and against streams that
        can't be taken up although their version serves.
        """
        streams, tally = asyncio.run(self.play(tmp_path, seed))
        assert len(streams) > 100
        for stream in streams:
            stream.check()
        print(f"seed {seed}: {len(streams)} streams, {tally}")
        tally.check()

    async def play(self, directory, seed):
        rng = random.Random(seed)
        fleet = GatewayFleet(directory, chosen_n_hosts(), ZONES, DOCUMENT)
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
