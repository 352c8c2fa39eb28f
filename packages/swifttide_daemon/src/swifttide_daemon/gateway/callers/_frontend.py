"""HTTP server for callers: accepts connections and reads requests from them.

The size and the duration of requests are limited, and so is the memory that all bodies
take together. The handling of a request is cancelled when its caller disconnects.
"""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from swifttide_core.forwarding import RequestLimits
from swifttide_daemon.gateway._sockets import set_socket_options
from swifttide_daemon.gateway.callers._answer_buffers import AnswerBuffers
from swifttide_daemon.gateway.callers._caller_channel import CallerChannel
from swifttide_daemon.gateway.callers._caller_request import CallerRequest
from swifttide_daemon.gateway.callers._dialect import BadRequest, Dialect
from swifttide_daemon.gateway.callers._http_fields import all_values
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.telemetry import EventLog

READ_BYTES = 65_536

MAX_BUFFERED_BYTES = 41_943_040
"""Total size of request bodies in memory. The smallest hosts have 170 MB of memory in
all. A memory budget may allow less."""

Handler = Callable[[CallerRequest, CallerChannel], Awaitable[None]]


class DisconnectAwareProtocol(asyncio.StreamReaderProtocol):
    """Stream protocol that detects the peer's disconnection while nothing reads.

    Attributes
    ----------
    disconnected : asyncio.Future
        Done once the peer has closed or lost the connection.
    """

    def __init__(self, reader, client_connected):
        super().__init__(reader, client_connected)
        self.disconnected = asyncio.get_running_loop().create_future()

    def eof_received(self):
        self._mark_disconnected()
        return super().eof_received()

    def connection_lost(self, exc):
        self._mark_disconnected()
        super().connection_lost(exc)

    def _mark_disconnected(self):
        if not self.disconnected.done():
            self.disconnected.set_result(None)


class Frontend:
    """Serves callers' connections, each in a task of its own.

    Parameters
    ----------
    dialect : Dialect
        Decodes requests.
    limits : callable
        Returns the request limits in force.
    may_keep_alive : callable
        Returns whether connections may be reused for another request.
    handle : callable
        Answers one request.
    log : EventLog
    buffers : AnswerBuffers or None
        Bytes held for callers; None where they aren't limited.

    Attributes
    ----------
    stopping : bool
        Set by the owner while the host shuts down.
    """

    def __init__(
        self,
        dialect: Dialect,
        limits: Callable[[], RequestLimits],
        may_keep_alive: Callable[[], bool],
        handle: Handler,
        log: EventLog,
        buffers: AnswerBuffers | None = None,
    ):
        self._dialect = dialect
        self._limits = limits
        self._may_keep_alive = may_keep_alive
        self._handle = handle
        self._log = log
        self._buffers = buffers if buffers is not None else AnswerBuffers()
        self._server = None
        self._busy: set[asyncio.Task] = set()
        self._connections: dict[asyncio.Task, asyncio.StreamWriter] = {}
        self._body_bytes = 0
        self.stopping = False

    async def listen(self, ip: str, port: int) -> int:
        """Start to accept connections; return the port that is bound."""
        loop = asyncio.get_running_loop()

        def factory():
            reader = asyncio.StreamReader(limit=READ_BYTES, loop=loop)
            return DisconnectAwareProtocol(reader, self._serve)

        self._server = await loop.create_server(factory, ip, port, backlog=512)
        return self._server.sockets[0].getsockname()[1]

    @property
    def n_busy(self) -> int:
        """Number of connections with a request that hasn't been answered."""
        return len(self._busy)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections that have no request in progress."""
        for task, writer in list(self._connections.items()):
            if task not in self._busy:
                writer.close()

    @property
    def has_room_for_bodies(self) -> bool:
        """Whether the request bodies in memory are within their limit."""
        budget = self._buffers.budget
        most = MAX_BUFFERED_BYTES
        if budget is not None:
            most = min(most, budget.max_request_bytes)
        return self._body_bytes <= most

    def add_body_bytes(self, n_bytes: int) -> None:
        """Add to the size of request bodies in memory, or subtract from it."""
        self._body_bytes += n_bytes
        if self._buffers.budget is not None:
            self._buffers.budget.set_request_bytes(self._body_bytes)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._connections[task] = writer
        try:
            set_socket_options(writer.get_extra_info("socket"))
            await _Connection(self, reader, writer, task).run()
        except (OSError, EOFError, h11.LocalProtocolError) as exc:
            self._log.debug("caller_lost", detail=type(exc).__name__)
        except Exception as exc:
            self._log.error("connection_failed", exc)
        finally:
            self._busy.discard(task)
            del self._connections[task]
            writer.close()


class _Connection:
    """Reads and answers the requests of one connection, one after the other."""

    def __init__(self, front: Frontend, reader, writer, task):
        self._frontend = front
        self._reader = reader
        self._writer = writer
        self._task = task
        self._buffer = front._buffers.open(writer)
        self._body_bytes = 0
        self._disconnected = writer.transport.get_protocol().disconnected
        limit = front._limits().max_header_bytes
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    async def run(self):
        try:
            while await self._serve_request():
                pass
        finally:
            self._release_body()
            self._buffer.close()

    async def _serve_request(self):
        """Read and answer one request; return whether another one may follow."""
        try:
            head = await self._read_head()
            if head is None:
                return False
            self._frontend._busy.add(self._task)
            req = self._decode(head, await self._read_body(head))
        except Refusal as refusal:
            self._release_body()
            await self._refuse(refusal)
            return False
        self._buffer.request_id = req.id
        channel = CallerChannel(
            self._http, self._buffer, self._frontend._may_keep_alive
        )
        try:
            await self._run_until_disconnect(self._frontend._handle(req, channel))
        finally:
            del req
            self._release_body()
        if channel.finished:
            await self._buffer.deliver()
        self._frontend._busy.discard(self._task)
        return self._start_next_request()

    def _release_body(self):
        self._frontend.add_body_bytes(-self._body_bytes)
        self._body_bytes = 0

    async def _read_head(self):
        limits = self._frontend._limits()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limits.idle_seconds
        begun = False
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            if not begun and self._http.trailing_data[0]:
                begun = True
                deadline = loop.time() + limits.header_seconds
            try:
                async with asyncio.timeout_at(deadline):
                    data = await self._reader.read(READ_BYTES)
            except TimeoutError:
                if begun:
                    raise Refusal(408, "headers_too_slow") from None
                return None
            if data and not begun:
                begun = True
                deadline = loop.time() + limits.header_seconds
            self._receive(data)

    async def _read_body(self, head):
        body = bytearray()
        try:
            await self._receive_body(head, body)
        except Refusal:
            # The exception refers to the body until the caller has read the refusal.
            body.clear()
            raise
        return bytes(body)

    async def _receive_body(self, head, body):
        limits = self._frontend._limits()
        self._check_framing(head, limits)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limits.idle_seconds
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._http.send(go_on))
        while True:
            event = self._next_event()
            match event:
                case h11.Data():
                    body += event.data
                    # Bodies that callers send slowly take memory as well.
                    self._body_bytes += len(event.data)
                    self._frontend.add_body_bytes(len(event.data))
                    self._check_size(len(body), limits)
                case h11.EndOfMessage():
                    return
                case h11.ConnectionClosed():
                    raise EOFError
                case _:
                    try:
                        async with asyncio.timeout_at(deadline):
                            data = await self._reader.read(READ_BYTES)
                    except TimeoutError:
                        raise Refusal(408, "body_too_slow") from None
                    self._receive(data)

    def _check_framing(self, head, limits):
        """Refuse a request whose length is ambiguous.

        With both a length and chunked transfer coding, a target may take the rest of
        the body for another request and run it, although nobody sent it (request
        smuggling).
        """
        fields = tuple(head.headers)
        lengths = all_values(fields, b"content-length")
        codings = all_values(fields, b"transfer-encoding")
        if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
            raise Refusal(400, "ambiguous_length")
        if len(all_values(fields, b"host")) != 1:
            raise Refusal(400, "one_host_expected")
        if lengths and int(lengths[0]) > limits.max_body_bytes:
            raise Refusal(413, "body_too_large")

    def _check_size(self, size, limits):
        if size > limits.max_body_bytes:
            raise Refusal(413, "body_too_large")
        if not self._frontend.has_room_for_bodies:
            raise Refusal(503, "host_full", 1.0)

    def _next_event(self):
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as exc:
            status = exc.error_status_hint
            raise Refusal(431 if status == 431 else 400, "malformed_request") from exc
        return None if event is h11.NEED_DATA else event

    def _receive(self, data):
        try:
            self._http.receive_data(data)
        except RuntimeError as exc:
            raise EOFError from exc

    def _decode(self, head, body):
        now = asyncio.get_running_loop().time()
        method = head.method.decode()
        try:
            return self._frontend._dialect.read_request(
                method, bytes(head.target), tuple(head.headers), body, now
            )
        except BadRequest as exc:
            raise Refusal(400, exc.detail) from exc

    async def _refuse(self, refusal):
        """Answer a request that couldn't be read, and close the connection."""
        self._frontend._log.info(
            "request_unreadable", status=refusal.status, reason=refusal.reason
        )
        channel = CallerChannel(self._http, self._buffer, lambda: False)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        fields = self._frontend._dialect.refusal_fields("", refusal.retry_after)
        await channel.answer(refusal.status, fields, refusal.reason.encode())
        await self._close_after_linger()

    async def _close_after_linger(self):
        """Close for writing, then read until the caller closes or the time is up.

        Closing a socket with unread bytes resets the connection, and the reset can
        reach the caller before the response does.
        """
        if self._writer.can_write_eof():
            self._writer.write_eof()
        try:
            async with asyncio.timeout(LINGER_SECONDS):
                while await self._reader.read(READ_BYTES):
                    pass
        except (TimeoutError, OSError):
            return

    async def _run_until_disconnect(self, handling):
        """Run a handler until it is done, and cancel it if the caller disconnects.

        A request that nobody waits for would still occupy capacity at a target.
        """
        task = asyncio.ensure_future(handling)
        try:
            await asyncio.wait(
                (task, self._disconnected), return_when=asyncio.FIRST_COMPLETED
            )
            if not task.done():
                task.cancel("caller disconnected")
            await asyncio.wait((task,))
        finally:
            task.cancel()
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()

    def _start_next_request(self):
        """Prepare for the next request; return whether the connection can be reused."""
        http = self._http
        if self._disconnected.done() or self._writer.is_closing():
            return False
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            return True
        return False


LINGER_SECONDS = 1.0
"""Time for a caller to read the response to a request that wasn't read to its end."""
