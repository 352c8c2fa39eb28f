"""Streams that are resumed at a host that stood still while a version joined."""

import asyncio
import signal

import h11
import pytest

from swifttide_standins.print_office import Runner
from tests.e2e._gateway_fleet import GatewayFleet

ZONES = ("za", "zb", "zc")
N_HOSTS = 5
N_STREAMS = 30
N_EVENTS = 8
EVENTS_BEFORE_BREAK = 3
TIMEOUT_SECONDS = 0.6
HISTORY_SECONDS = 12 * TIMEOUT_SECONDS + 1.0
"""Time after which the versions of the whole period are known."""

JOIN_SECONDS = 1.2
"""Time in which the hosts in step get to know targets that join."""

RENEWAL_SECONDS = 0.3

RESUME_SECONDS = 2.0
"""Time for which callers try to resume their streams."""

MIN_BROKEN_STREAMS = 5
"""Streams that must break for a play to show anything."""

ROUTE = {
    "name": "check",
    "host": "shop.example",
    "prefix": "/check/",
    "type": "streaming",
    "resumable": True,
    "timeout_ms": int(TIMEOUT_SECONDS * 1000),
    "latency_target_ms": 200,
    "gap_target_ms": 200,
    "priority": 0,
    "service": "engines",
    "max_attempts": 1,
}
SERVICE = {"name": "engines", "runtime": {"chunk_tokens": 10, "capacity": 12}}
DOCUMENT = {"version": 1, "routes": [ROUTE], "services": [SERVICE]}


class Play:
    """Streams that begin at hosts in step and are resumed at one that stood still.

    Parameters
    ----------
    directory : Path
        Gets settings and logs of the hosts.
    names_attempt : bool
        Whether callers name the attempt that began their stream.
    """

    def __init__(self, directory, names_attempt):
        self.fleet = GatewayFleet(directory, N_HOSTS, ZONES, DOCUMENT)
        self.names_attempt = names_attempt
        self.targets = []
        self.serving = []

    @property
    def stalled_host(self):
        return self.fleet.hosts[0]

    async def start_targets(self, version, number, id_prefix="old", **script):
        """Start and register targets of a version."""
        started = []
        for n in range(number):
            target = Runner(f"{id_prefix}-{n}", "engines", ZONES[n % 3], version)
            target.script = target.events(N_EVENTS, stamped=True, **script)
            await target.server.start()
            self.fleet.store.rows.put("servers", target.id, target.entry())
            started.append(target)
        self.targets += started
        self.serving += started
        return started

    async def renew_entries(self):
        """Renew the entries of all targets in service, as targets do."""
        sequence = 1
        while True:
            sequence += 1
            for target in self.serving:
                entry = target.entry(sequence=sequence)
                self.fleet.store.rows.put("servers", target.id, entry)
            await asyncio.sleep(RENEWAL_SECONDS)

    async def end_targets(self, targets):
        for target in targets:
            self.serving.remove(target)
            self.fleet.store.rows.remove("servers", target.id)
            await target.server.stop()

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
            if self.names_attempt:
                head.append(("Resumes", f"{number}.0"))
        http = h11.Connection(h11.CLIENT)
        request = h11.Request(method="POST", target="/check/1", headers=head)
        data = http.send(request) + http.send(h11.Data(data=body))
        got, status = bytearray(), None
        try:
            async with asyncio.timeout(4.0):
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
        return parse_events(bytes(got)) if status == 200 else []

    async def begin(self, number):
        """Begin a stream at a host in step; return the events before it breaks."""
        host = self.fleet.hosts[1 + number % (N_HOSTS - 1)]
        return await self.read(host, number, f"{number}.0")

    async def resume(self, number, events):
        """Resume a stream at the stalled host until it ends or time is up."""
        loop = asyncio.get_running_loop()
        until = loop.time() + RESUME_SECONDS
        attempt = 0
        while events and events[-1][0] < N_EVENTS and loop.time() < until:
            attempt += 1
            events = events + await self.read(
                self.stalled_host, number, f"{number}.{attempt}", events[-1][0]
            )
            await asyncio.sleep(0.1)
        return events

    async def run(self, joining, others_stall):
        """Return the events of all streams.

        Parameters
        ----------
        joining : str
            Version of the targets that join while the host stands still, and end.
        others_stall : bool
            Whether the others stand still as the host goes on: it is then cut off.
        """
        renewing = asyncio.create_task(self.renew_entries())
        try:
            await self.start_targets("v1", 2)
            await self.fleet.start()
            await asyncio.sleep(HISTORY_SECONDS)
            self.fleet.signal(self.stalled_host, signal.SIGSTOP)
            new = await self.start_targets(
                joining, 4, id_prefix="new", hold_after=EVENTS_BEFORE_BREAK
            )
            await asyncio.sleep(JOIN_SECONDS)
            begun = await asyncio.gather(*(self.begin(n) for n in range(N_STREAMS)))
            await self.end_targets(new)
            resuming = [
                asyncio.create_task(self.resume(n, events))
                for n, events in enumerate(begun)
            ]
            await asyncio.sleep(0.3)
            if others_stall:
                for host in self.fleet.hosts[1:]:
                    self.fleet.signal(host, signal.SIGSTOP)
            self.fleet.signal(self.stalled_host, signal.SIGCONT)
            return begun, await asyncio.gather(*resuming)
        finally:
            renewing.cancel()
            for target in self.targets:
                await target.server.stop()
            await self.fleet.stop()


def parse_events(body):
    """Return id and version of each complete event."""
    found = []
    for event in body.split(b"\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
        found.append((int(fields["id"]), fields["data"].split()[1]))
    return found


@pytest.mark.parametrize("names_attempt", [True, False])
class TestStreamsAtAStalledHost:
    @pytest.mark.parametrize("others_stall", [True, False])
    def test_version_that_joined_meanwhile(self, tmp_path, names_attempt, others_stall):
        """Guards against streams joined from two versions at a host out of step."""
        play = Play(tmp_path, names_attempt)
        begun, streams = asyncio.run(play.run("v2", others_stall))
        broken = [s for s in begun if len(s) == EVENTS_BEFORE_BREAK]
        assert len(broken) >= MIN_BROKEN_STREAMS
        assert {version for events in broken for _, version in events} == {"v2"}
        for events in streams:
            assert len({version for _, version in events}) == 1, events

    def test_one_version_all_along(self, tmp_path, names_attempt):
        """Guards against refusing streams of the only version after a standstill."""
        play = Play(tmp_path, names_attempt)
        begun, streams = asyncio.run(play.run("v1", others_stall=True))
        assert sum(len(s) == EVENTS_BEFORE_BREAK for s in begun) >= MIN_BROKEN_STREAMS
        for events in streams:
            assert events == [(n + 1, "v1") for n in range(N_EVENTS)]
