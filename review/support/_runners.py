"""Runners: servers that register in the store and run requests."""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import h11
from review_support._record import Record

from swifttide_standins.print_office import RowServer

HEARTBEAT_SECONDS = 1.2

EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
"""Silence of a runner after which the platform removes its entry."""

SLOTS = 12
QUEUE = 36


@dataclass(frozen=True)
class Work:
    """How a runner runs one request.

    Parameters
    ----------
    seconds : float
        Time before the body, or before each event.
    body : bytes
        Whole body, where the answer isn't a stream.
    events : tuple of bytes
        Events of a stream, sent one by one.
    crashes : bool
        Whether the runner crashes as it begins to run the request.
    """

    seconds: float = 0.0
    body: bytes = b""
    events: tuple[bytes, ...] = ()
    crashes: bool = False


@dataclass
class Run:
    """One request that a runner began to run.

    Attributes
    ----------
    end : str
        ``whole``, ``left`` (its channel was closed), ``deadline`` or ``crash``; empty
        while it runs.
    """

    attempt: str
    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    began_at: float
    end: str = ""


@dataclass
class _Request:
    method: str
    target: str
    fields: dict[str, str]
    body: bytes = field(default=b"")


class Runner:
    """A sound runner, as the platform's pages describe it.

    Parameters
    ----------
    record : Record
    store : RowServer
    id : str
    service : str
    zone : str
    work : callable
        Takes a `Run`; returns its `Work`.
    on_crash : callable or None
        Called with the runner when it has crashed.
    """

    def __init__(
        self,
        record: Record,
        store: RowServer,
        id: str,
        service: str,
        zone: str,
        work: Callable[[Run], Work],
        on_crash: Callable[["Runner"], None] | None = None,
    ):
        self.id = id
        self.service = service
        self.zone = zone
        self.runs: list[Run] = []
        self._record = record
        self._store = store
        self._work = work
        self._on_crash = on_crash
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._slots = asyncio.Semaphore(SLOTS)
        self._n_queued = 0
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self._beat: asyncio.Task | None = None
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on loopback and register in the store."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._beat = asyncio.create_task(self._heartbeat())
        self._record.add(
            f"runner {self.id} ({self.service}) starts at 127.0.0.1:{self.port}"
        )

    async def _heartbeat(self):
        while True:
            self._sequence += 1
            entry = {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "capacity": SLOTS,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": self._sequence,
                "born": self._born_ms,
            }
            self._store.rows.put("servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def stop(self) -> None:
        """End as a process that dies does: the port closes, channels are reset."""
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        http = h11.Connection(h11.SERVER)
        try:
            while (request := await _read_request(http, reader)) is not None:
                if not await self._answer(http, reader, writer, request):
                    return
                http.start_next_cycle()
        except (OSError, h11.ProtocolError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, http, reader, writer, request):
        """Answer one request; return whether the channel can be used again."""
        attempt = request.fields.get("swifttide-attempt-id", "")
        if request.fields.get("swifttide-expect-instance", self.id) != self.id:
            return _send_whole(http, writer, 421, [], b"")
        if not attempt:
            refused = [("Swifttide-Not-Executed", "1")]
            return _send_whole(http, writer, 400, refused, b"")
        if self._slots.locked() and self._n_queued >= QUEUE:
            refused = [("Swifttide-Attempt-Id", attempt)]
            refused.append(("Swifttide-Not-Executed", "1"))
            return _send_whole(http, writer, 503, refused, b"")
        self._n_queued += 1
        try:
            await self._slots.acquire()
        finally:
            self._n_queued -= 1
        try:
            return await self._run(http, reader, writer, request, attempt)
        finally:
            self._slots.release()

    async def _run(self, http, reader, writer, request, attempt):
        began = self._record.seconds()
        run = Run(
            attempt, request.method, request.target, request.fields, request.body, began
        )
        self.runs.append(run)
        self._record.add(f"runner {self.id} runs {attempt}, body {_shown(run.body)}")
        work = self._work(run)
        if work.crashes:
            run.end = "crash"
            self._record.add(f"runner {self.id} crashes under {attempt}")
            self.stop()
            loop = asyncio.get_running_loop()
            loop.call_later(EXPIRY_SECONDS, self._store.rows.remove, "servers", self.id)
            if self._on_crash is not None:
                self._on_crash(self)
            return False
        seconds = int(request.fields.get("swifttide-deadline-ms", "60000")) / 1000
        left = asyncio.ensure_future(reader.read(1))
        working = asyncio.ensure_future(self._work_on(http, writer, run, work))
        try:
            await asyncio.wait(
                (left, working), timeout=seconds, return_when=asyncio.FIRST_COMPLETED
            )
            if working.done():
                run.end = run.end or "whole"
                return working.result()
            run.end = "left" if left.done() else "deadline"
            return False
        finally:
            self._record.add(f"runner {self.id} ends {attempt}: {run.end}")
            working.cancel()
            left.cancel()
            await asyncio.gather(working, left, return_exceptions=True)

    async def _work_on(self, http, writer, run, work):
        fields = [
            ("Swifttide-Attempt-Id", run.attempt),
            ("Swifttide-Server-Stamp", f"stamp.{self.id}.{len(self.runs)}"),
        ]
        if not work.events:
            await asyncio.sleep(work.seconds)
            return _send_whole(http, writer, 200, fields, work.body)
        fields.append(("Content-Type", "text/event-stream"))
        fields.append(("Transfer-Encoding", "chunked"))
        writer.write(http.send(h11.Response(status_code=200, headers=fields)))
        for event in work.events:
            await asyncio.sleep(work.seconds)
            writer.write(http.send(h11.Data(data=event)))
            await writer.drain()
        writer.write(http.send(h11.EndOfMessage()))
        return True


def _send_whole(http, writer, status, fields, body):
    fields = [*fields, ("Content-Length", str(len(body)))]
    data = http.send(h11.Response(status_code=status, headers=fields))
    if body:
        data += http.send(h11.Data(data=body))
    data += http.send(h11.EndOfMessage())
    writer.write(data)
    return True


async def _read_request(http, reader) -> _Request | None:
    head, body = None, bytearray()
    while True:
        match http.next_event():
            case h11.Request() as head:
                continue
            case h11.Data(data=data):
                body += data
            case h11.EndOfMessage():
                fields = {n.decode(): v.decode() for n, v in head.headers}
                method, target = head.method.decode(), head.target.decode()
                return _Request(method, target, fields, bytes(body))
            case h11.ConnectionClosed():
                return None
            case _:
                http.receive_data(await reader.read(65_536))


def _shown(body):
    text = body.decode("latin-1").replace("\n", "|")
    return repr(text) if len(text) <= 160 else f"of {len(text)} bytes"
