"""A store, runners and gateways on loopback."""

import asyncio
import json
import logging
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import pytest

from swifttide_core.budgets import N_SLOTS
from swifttide_core.forwarding import RegionMap
from swifttide_daemon.gateway import GatewaySettings
from swifttide_daemon.platform.__main__ import build
from swifttide_daemon.telemetry import EventLog
from swifttide_standins.print_office import RowServer, Runner, free_ports

HOST = "shop.example"


def route(name, service, **more):
    """Return a route of the operator's document."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": "idempotent",
        "timeout_ms": 2000,
        "latency_target_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    } | more


def document(version, routes, **more):
    """Return an operator's document."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "engines", "runtime": {"chunk_tokens": 10, "capacity": 12}},
            {"name": "app"},
        ],
        "limits": {
            "max_header_bytes": 8192,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 1000,
            "idle_timeout_ms": 5000,
        },
    } | more


STREAM = {"type": "streaming", "max_attempts": 1, "gap_target_ms": 200}
TURN = STREAM | {"retained": True, "retention_s": 60.0}
ROUTES = [
    route("lookup", "app"),
    route("charge", "app", type="non_idempotent", max_attempts=1),
    route("draft", "engines", **TURN),
    route("check", "engines", **STREAM, resumable=True),
    route("brief", "engines", **STREAM, timeout_ms=300),
]


@dataclass
class Answer:
    """What a caller got.

    Parameters
    ----------
    status : int or None
        None when the connection ended without an answer.
    fields : dict of str to str
    body : bytes
    whole : bool
        Whether the body came to its end.
    """

    status: int | None
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


class Site:
    """A store, some runners and one gateway or more."""

    def __init__(self):
        self.store = RowServer()
        self.runners: dict[str, Runner] = {}
        self.gateways = []
        self.settings = None
        self.regions = RegionMap()
        self.ports = []
        self._tasks = []

    async def start(
        self, routes=ROUTES, n_gateways=1, zones=("zone-a",), regions=None, **more
    ):
        """Start the store, write a configuration and start gateways."""
        self.regions = regions or self.regions
        await self.store.server.start()
        self.configure(document(1, routes, **more))
        for i in range(n_gateways):
            await self.add_gateway(zones[i % len(zones)])
        await until(self.slots_are_owned)

    def slots_are_owned(self):
        """Whether each host knows an owner of each slot of programs.

        Hosts that start together pass slots on for a second or two. What a program's
        budget has left at its owner isn't known meanwhile.
        """
        owners = {s: g._cfg.ip for g in self.gateways for s in g._shares.slots}
        return len(owners) == N_SLOTS and all(
            gateway._shares.owner_of(slot) == ip
            for gateway in self.gateways
            for slot, ip in owners.items()
        )

    def configure(self, config):
        """Write the operator's document."""
        self.store.rows.put("op", "config", json.dumps(config).encode())

    async def add_runner(self, id, service, zone="zone-a", version="v1"):
        """Start a runner and register it."""
        runner = Runner(id, service, zone, version)
        await runner.server.start()
        self.runners[id] = runner
        self.store.rows.put("servers", id, runner.entry())
        return runner

    async def add_gateway(self, zone="zone-a"):
        """Start a gateway and wait until it is ready."""
        # Ports are the same on all machines, as the platform has it.
        ports = self.ports[0][1:] if self.ports else free_ports(3)
        number = len(self.gateways) + 1
        cfg = GatewaySettings(
            host=f"edge-{number}",
            zone=zone,
            ip=f"127.0.0.{number}",
            caller_port=ports[0],
            ready_port=ports[1],
            peer_port=ports[2],
            metrics_port=0,
            store_ip="127.0.0.1",
            store_port=self.store.server.port,
            stop_seconds=4.0,
            regions=self.regions,
        )
        stop = asyncio.Event()
        log = EventLog(logging.getLogger("swifttide.test"))
        gateway = build(cfg, lambda: self.settings or cfg, log)
        self._tasks.append((asyncio.create_task(gateway.run(stop)), stop))
        self.gateways.append(gateway)
        self.ports.append((cfg.ip, *ports))
        await until(gateway._pages.is_ready)

    def change_while_connecting(self, runner, gateway=0, **changes):
        """Change a runner's entry each time that a gateway has connected to it."""
        client = self.gateways[gateway]._forwarder._client
        beliefs = self.gateways[gateway].beliefs
        connect = client.connect

        async def connect_slowly(target, *args):
            conn = await connect(target, *args)
            if target.id == runner.id:
                before = beliefs.targets[target.id]
                self.store.rows.put("servers", runner.id, runner.entry(**changes))
                await until(lambda: beliefs.targets[target.id] != before)
            return conn

        client.connect = connect_slowly

    def stop(self, number=0):
        """Send SIGTERM's equivalent to a gateway; return its task."""
        task, stop = self._tasks[number]
        stop.set()
        return task

    def kill(self, number):
        """End a gateway without a word."""
        self._tasks[number][0].cancel()

    async def close(self):
        """End everything."""
        for task, _ in self._tasks:
            task.cancel()
        await asyncio.gather(*(t for t, _ in self._tasks), return_exceptions=True)
        await self.store.server.stop()
        for runner in self.runners.values():
            await runner.server.stop()

    async def send(self, path, body=b"", gateway=0, method="POST", **fields):
        """Send a request on a new connection and return its answer."""
        head = {"attempt_id": "a1", "deadline_ms": "2000"} | fields
        ip, port = self.ports[gateway][:2]
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
        for name, value in head.items():
            lines.append(f"{wire_name(name)}: {value}")
        lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode() + body
        return await send_raw(ip, port, data)

    async def turn(self, attempt, path="/draft/1", body=b"in", **fields):
        """Send a turn of a program."""
        return await self.send(
            path, body, attempt_id=attempt, program_id="p1", session_id="s1", **fields
        )


def wire_name(name):
    """Return a field's name on the wire: ``attempt_id`` is the platform's own."""
    if name in ("authorization", "last_event_id", "resumes", "kv_from", "expect"):
        return name.replace("_", "-")
    return "Swifttide-" + name.replace("_", "-")


async def send_raw(ip, port, data):
    """Send bytes and read one answer until it or the connection ends."""
    import h11

    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    http.send(h11.EndOfMessage())
    reader, writer = await asyncio.open_connection(ip, port)
    answer = Answer(None)
    try:
        writer.write(data)
        async with asyncio.timeout(8.0):
            while not answer.whole:
                event = http.next_event()
                match event:
                    case h11.Response():
                        names = {n.decode(): v.decode() for n, v in event.headers}
                        answer = Answer(event.status_code, names)
                    case h11.Data():
                        answer.body += bytes(event.data)
                    case h11.EndOfMessage():
                        answer.whole = True
                    case h11.ConnectionClosed():
                        break
                    case _:
                        http.receive_data(await reader.read(65_536))
    except (OSError, h11.RemoteProtocolError):
        pass
    finally:
        writer.close()
    return answer


async def until(condition, seconds=10.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


@pytest.fixture
def play():
    """Run a scenario against a site that starts and ends with it."""

    def run(scenario, **options):
        @asynccontextmanager
        async def site():
            found = Site()
            try:
                await found.start(**options)
                yield found
            finally:
                await found.close()

        async def main():
            async with site() as found:
                return await scenario(found)

        return asyncio.run(main())

    return run
