"""Runners that crash and come back, and their entries in the platform's store."""

import asyncio
import itertools
import json
import time

from swifttide_standins.print_office import Runner

HEARTBEAT_SECONDS = 1.2
EXPIRY_HEARTBEATS = 3


class RunnerProcess:
    """One runner at a fixed address, over several starts.

    Parameters
    ----------
    name : str
    service : str
    zone : str
    rows : MemoryRows
        The store's rows.
    record : Record
    script : callable
        Takes a request and the runner; returns the reply.
    capacity : int
    """

    _numbers = itertools.count(1)

    def __init__(self, name, service, zone, rows, record, script, capacity=12):
        self.name = name
        self.ran = []
        self.n_running = 0
        self.capacity = capacity
        self._service = service
        self._zone = zone
        self._rows = rows
        self._record = record
        self._script = script
        self._runner: Runner | None = None
        self._port = 0
        self._sequence = 0
        self._born = 0
        self._left_at: dict[str, float] = {}

    @property
    def is_running(self):
        """Whether the runner serves."""
        return self._runner is not None

    @property
    def id(self):
        """Id of the present start; empty while there is none."""
        return self._runner.id if self._runner else ""

    async def start(self):
        """Start with a new id, at the address of before unless it was given up."""
        runner = Runner(f"i-{next(self._numbers):06x}", self._service, self._zone)
        runner.script = lambda request: self._run(request, runner)
        await runner.server.start(self._port)
        self._port = runner.server.port
        self._runner = runner
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self.beat()
        self._record.write("runner_started", runner=self.name, id=runner.id)

    def _run(self, request, runner):
        attempt = request.fields["swifttide-attempt-id"]
        self._record.write("runs", runner=self.name, id=runner.id, attempt=attempt)
        self.ran.append((time.monotonic(), request))
        return self._script(request, self)

    def reply(self, request, pieces, **more):
        """Return an answer with the mark of the present start."""
        return self._runner.reply(request, pieces, **more)

    async def crash(self, seconds, moves=False):
        """End at once with all requests; start again later, perhaps elsewhere."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        self._record.write("runner_crashed", runner=self.name, id=runner.id)
        self._left_at[runner.id] = time.monotonic()
        await runner.server.stop()
        await asyncio.sleep(seconds)
        if moves:
            self._port = 0
        await self.start()

    def beat(self):
        """Write the entry."""
        if self._runner is None:
            return
        self._sequence += 1
        entry = json.loads(self._runner.entry())
        entry |= {
            "capacity": self.capacity,
            "sequence": self._sequence,
            "born": self._born,
        }
        self._rows.put("servers", self._runner.id, json.dumps(entry).encode())

    def expire(self):
        """Remove the entries of earlier starts that are silent for too long."""
        now = time.monotonic()
        for id, at in list(self._left_at.items()):
            if now - at >= EXPIRY_HEARTBEATS * HEARTBEAT_SECONDS:
                del self._left_at[id]
                self._rows.remove("servers", id)

    async def stop(self):
        """End for good."""
        if self._runner is not None:
            await self._runner.server.stop()


async def keep_entries(runners):
    """Write the entries of running runners and let the others expire."""
    while True:
        await asyncio.sleep(HEARTBEAT_SECONDS)
        for runner in runners:
            runner.beat()
            runner.expire()
