"""Streams that their callers take up after all hosts were lost in a release."""

import asyncio
import json
import signal

import h11
import pytest

from swifttide_standins.print_office import Runner
from tests.e2e._gateway_fleet import GatewayFleet

ZONES = ("za", "zb", "zc")
N_HOSTS = 3
N_STREAMS = 12
N_EVENTS = 8
TIMEOUT_SECONDS = 1.0
DARK_SECONDS = 1.0
TAKE_UP_SECONDS = 5.0
"""Time for which callers come back: more than two time-outs of the route."""


def document(version, timeout_seconds):
    route = {
        "name": "check",
        "host": "shop.example",
        "prefix": "/check/",
        "type": "streaming",
        "resumable": True,
        "timeout_ms": int(timeout_seconds * 1000),
        "latency_target_ms": 200,
        "gap_target_ms": 200,
        "priority": 0,
        "service": "engines",
        "max_attempts": 1,
    }
    service = {"name": "engines", "runtime": {"chunk_tokens": 10, "capacity": 12}}
    return {"version": version, "routes": [route], "services": [service]}


class Play:
    """Hosts, targets and callers that never name the attempt that began a stream."""

    def __init__(self, directory):
        config = document(1, TIMEOUT_SECONDS)
        self.fleet = GatewayFleet(directory, N_HOSTS, ZONES, config)
        self.targets = []

    async def start_targets(self, version, hold_after=None):
        """Start two targets of a version."""
        for n in range(2):
            target = Runner(f"{version}-{n}", "engines", ZONES[n], version)
            target.script = target.events(N_EVENTS, stamped=True, hold_after=hold_after)
            await target.server.start()
            self.targets.append(target)
            self.fleet.store.rows.put("servers", target.id, target.entry())

    async def stop_targets(self):
        for target in self.targets:
            await target.server.stop()
            self.fleet.store.rows.remove("servers", target.id)
        self.targets.clear()

    async def read(self, host, number, attempt, last_event_id=None):
        """Return the events of an attempt, as ids and versions."""
        body = b"stream %d" % number
        head = [
            ("Host", "shop.example"),
            ("Swifttide-Attempt-Id", attempt),
            ("Swifttide-Deadline-Ms", "1000"),
            ("Content-Length", str(len(body))),
        ]
        if last_event_id is not None:
            head.append(("Last-Event-Id", str(last_event_id)))
        http = h11.Connection(h11.CLIENT)
        request = h11.Request(method="POST", target="/check/1", headers=head)
        data = http.send(request) + http.send(h11.Data(data=body))
        got = bytearray()
        status = None
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await self.fleet.connect(host)
                writer.write(data + http.send(h11.EndOfMessage()))
                try:
                    while True:
                        match http.next_event():
                            case h11.Response(status_code=status):
                                continue
                            case h11.Data(data=piece):
                                got += piece
                            case h11.EndOfMessage() | h11.ConnectionClosed():
                                break
                            case _:
                                http.receive_data(await reader.read(65_536))
                finally:
                    writer.close()
        except (OSError, TimeoutError, h11.RemoteProtocolError):
            pass
        if status != 200:
            return []
        events = bytes(got).split(b"\n\n")[:-1]
        fields = [
            dict(x.split(": ", 1) for x in e.decode().split("\n")) for e in events
        ]
        return [(int(f["id"]), f["data"].split()[1]) for f in fields]

    async def run_stream(self, number):
        """Begin a stream, and take it up until it ends or time is up."""
        hosts = self.fleet.hosts
        events = await self.read(hosts[number % N_HOSTS], number, f"{number}.0")
        loop = asyncio.get_running_loop()
        until = loop.time() + DARK_SECONDS + TAKE_UP_SECONDS
        attempt = 0
        while events and events[-1][0] < N_EVENTS and loop.time() < until:
            await asyncio.sleep(0.2)
            attempt += 1
            host = hosts[(number + attempt) % N_HOSTS]
            events += await self.read(
                host, number, f"{number}.{attempt}", events[-1][0]
            )
        return events

    async def lose_all(self, version, timeout_seconds):
        """Kill all hosts; targets of a version serve once they are back."""
        for ip in self.fleet.hosts:
            self.fleet.signal(ip, signal.SIGKILL)
        await asyncio.sleep(DARK_SECONDS)
        await self.stop_targets()
        await self.start_targets(version)
        text = json.dumps(document(2, timeout_seconds)).encode()
        self.fleet.store.rows.put("op", "config", text)
        for ip in self.fleet.hosts:
            self.fleet.start_host(ip)

    async def run(self, version, timeout_seconds=TIMEOUT_SECONDS):
        try:
            await self.start_targets("v1", hold_after=3)
            await self.fleet.start()
            # Versions are noted from here on; streams may be as old as this.
            await asyncio.sleep(12 * TIMEOUT_SECONDS + 1.0)
            streams = [
                asyncio.create_task(self.run_stream(n)) for n in range(N_STREAMS)
            ]
            await asyncio.sleep(0.5)
            await self.lose_all(version, timeout_seconds)
            return await asyncio.gather(*streams)
        finally:
            await self.stop_targets()
            await self.fleet.stop()


class TestStreamsAfterALossOfAllHosts:
    @pytest.mark.parametrize("timeout_seconds", [TIMEOUT_SECONDS, 0.4])
    def test_targets_were_replaced(self, tmp_path, timeout_seconds):
        """Guards against streams joined from two versions after a loss of all hosts."""
        streams = asyncio.run(Play(tmp_path).run("v2", timeout_seconds))
        assert sum(len(events) == 3 for events in streams) == N_STREAMS
        for events in streams:
            assert {version for _, version in events} == {"v1"}

    def test_targets_of_one_version(self, tmp_path):
        """Guards against refusing streams whose version has served all along."""
        streams = asyncio.run(Play(tmp_path).run("v1"))
        for events in streams:
            assert [n for n, _ in events] == list(range(1, N_EVENTS + 1))
