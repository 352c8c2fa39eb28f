"""A small HTTP/1.1 server whose answers a test spells out."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11


@dataclass(frozen=True)
class Request:
    """A request as it came.

    Parameters
    ----------
    method : str
    target : str
        Path and query.
    fields : dict of str to str
        Names in lower case.
    body : bytes
    closed : asyncio.Event
        Set when the other end closes the connection.
    """

    method: str
    target: str
    fields: dict[str, str]
    body: bytes
    closed: asyncio.Event


@dataclass(frozen=True)
class Reply:
    """An answer.

    Parameters
    ----------
    status : int
    fields : dict of str to str
    pieces : tuple of bytes
        Sent one by one, in chunks.
    gap_seconds : float
        Pause before each piece.
    break_after : int or None
        Pieces after which the connection is reset.
    hold_after : int or None
        Pieces after which nothing more is sent until the other end closes.
    raw_before : bytes
        Bytes sent before the answer, such as another answer.
    raw_after : bytes
        Bytes sent after it.
    endless : bytes
        If any, sent after `raw_before` in place of the answer, again and again until
        the other end closes.
    endless_gap_seconds : float
        Pause between them; with 0 they are sent at full speed.
    cut : bytes or None
        If any, sent in place of the answer, after which the connection ends.
    reset : bool
        Whether it ends with a reset.
    """

    status: int = 200
    fields: dict[str, str] = field(default_factory=dict)
    pieces: tuple[bytes, ...] = ()
    gap_seconds: float = 0.0
    break_after: int | None = None
    hold_after: int | None = None
    raw_before: bytes = b""
    raw_after: bytes = b""
    endless: bytes = b""
    endless_gap_seconds: float = 0.0
    cut: bytes | None = None
    reset: bool = False


class HttpServer:
    """Serves connections, one task each.

    Parameters
    ----------
    handle : callable
        Takes a `Request`; returns a `Reply`, or None to reset the connection.
    """

    def __init__(self, handle: Callable[[Request], Awaitable[Reply | None]]):
        self._handle = handle
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.n_connections = 0
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on loopback; the port comes from the operating system."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def refuse_connections(self) -> None:
        """Close the port; connections that are open stay, and stay silent."""
        self._server.close()

    async def stop(self) -> None:
        """Close the port and reset all connections, as a process that dies does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.n_connections += 1
        self._writers.add(writer)
        try:
            await self._serve_connection(reader, writer)
        except (OSError, EOFError, h11.ProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_connection(self, reader, writer):
        http = h11.Connection(h11.SERVER)
        while True:
            request = await self._read(http, reader)
            if request is None:
                return
            watch = asyncio.create_task(_watch(reader, request.closed))
            try:
                reply = await self._handle(request)
                if reply is None or not await self._write(
                    http, writer, reply, request.closed
                ):
                    writer.transport.abort()
                    return
            finally:
                watch.cancel()
                await asyncio.gather(watch, return_exceptions=True)
            http.start_next_cycle()

    async def _read(self, http, reader):
        head, body = None, bytearray()
        while True:
            match http.next_event():
                case h11.Request() as head:
                    continue
                case h11.Data(data=data):
                    body += data
                case h11.EndOfMessage():
                    names = {n.decode(): v.decode() for n, v in head.headers}
                    target = head.target.decode()
                    method = head.method.decode()
                    closed = asyncio.Event()
                    return Request(method, target, names, bytes(body), closed)
                case h11.ConnectionClosed():
                    return None
                case _:
                    http.receive_data(await reader.read(65_536))

    async def _write(self, http, writer, reply, closed):
        writer.write(reply.raw_before)
        if reply.cut is not None:
            await _write_cut(writer, reply)
            return False
        if reply.endless:
            await _write_without_end(writer, reply, closed)
            return False
        fields = list(reply.fields.items())
        head = h11.Response(status_code=reply.status, headers=fields)
        writer.write(http.send(head))
        for i, piece in enumerate(reply.pieces):
            if reply.break_after == i:
                await writer.drain()
                return False
            if reply.hold_after == i:
                await writer.drain()
                await closed.wait()
                return False
            await asyncio.sleep(reply.gap_seconds)
            writer.write(http.send(h11.Data(data=piece)))
        if reply.break_after == len(reply.pieces):
            await writer.drain()
            return False
        writer.write(http.send(h11.EndOfMessage()))
        writer.write(reply.raw_after)
        await writer.drain()
        return True


async def _watch(reader, closed):
    """Note that the other end has closed or reset; it sends nothing while it waits."""
    try:
        has_ended = not await reader.read(1)
    except ConnectionError:
        has_ended = True
    if has_ended:
        closed.set()


async def _write_cut(writer, reply):
    writer.write(reply.cut)
    await writer.drain()
    if reply.reset:
        linger = struct.pack("ii", 1, 0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def _write_without_end(writer, reply, closed):
    block = reply.endless
    if not reply.endless_gap_seconds:
        block *= 65_536 // len(block) + 1
    try:
        while not closed.is_set():
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(reply.endless_gap_seconds)
    finally:
        closed.set()
