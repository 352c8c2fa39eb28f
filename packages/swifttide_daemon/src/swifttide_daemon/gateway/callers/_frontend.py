"""Connections of callers."""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from swifttide_core.forwarding import RequestLimits
from swifttide_daemon.gateway._sockets import set_socket_options
from swifttide_daemon.gateway.callers._caller_channel import CallerChannel
from swifttide_daemon.gateway.callers._caller_request import CallerRequest
from swifttide_daemon.gateway.callers._dialect import BadRequest, Dialect
from swifttide_daemon.gateway.callers._http_fields import all_values
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.telemetry import EventLog

READ_BYTES = 65_536

MAX_BUFFERED_BYTES = 41_943_040
"""Bodies in memory at one time; the smallest hosts have 170 MB for all."""

Handler = Callable[[CallerRequest, CallerChannel], Awaitable[None]]


class WatchedProtocol(asyncio.StreamReaderProtocol):
    """Tells at once when the other end has closed, also while nobody reads."""

    def __init__(self, reader, client_connected):
        super().__init__(reader, client_connected)
        self.gone = asyncio.get_running_loop().create_future()

    def eof_received(self):
        self._note_gone()
        return super().eof_received()

    def connection_lost(self, exc):
        self._note_gone()
        super().connection_lost(exc)

    def _note_gone(self):
        if not self.gone.done():
            self.gone.set_result(None)


class Frontend:
    """Serves callers: one task for each connection.

    Parameters
    ----------
    dialect : Dialect
    limits : callable
        Returns the limits in force.
    may_keep : callable
        Tells whether connections may be used again.
    handle : callable
        Answers one request.
    log : EventLog
    """

    def __init__(
        self,
        dialect: Dialect,
        limits: Callable[[], RequestLimits],
        may_keep: Callable[[], bool],
        handle: Handler,
        log: EventLog,
    ):
        self._dialect = dialect
        self._limits = limits
        self._may_keep = may_keep
        self._handle = handle
        self._log = log
        self._server = None
        self._busy: set[asyncio.Task] = set()
        self._connections: dict[asyncio.Task, asyncio.StreamWriter] = {}
        self._buffered = 0
        self.stopping = False

    async def listen(self, ip: str, port: int) -> int:
        """Accept connections; return the port."""
        loop = asyncio.get_running_loop()

        def factory():
            reader = asyncio.StreamReader(limit=READ_BYTES, loop=loop)
            return WatchedProtocol(reader, self._serve)

        self._server = await loop.create_server(factory, ip, port, backlog=512)
        return self._server.sockets[0].getsockname()[1]

    @property
    def n_busy(self) -> int:
        """Connections with a request that isn't answered yet."""
        return len(self._busy)

    def stop_accepting(self) -> None:
        """Close the port; connections that are open stay."""
        if self._server is not None:
            self._server.close()

    def close_idle(self) -> None:
        """Close connections without a request."""
        for task, writer in list(self._connections.items()):
            if task not in self._busy:
                writer.close()

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
    """One caller's connection, straight down."""

    def __init__(self, front: Frontend, reader, writer, task):
        self._front = front
        self._reader = reader
        self._writer = writer
        self._task = task
        self._gone = writer.transport.get_protocol().gone
        limit = front._limits().max_header_bytes
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    async def run(self):
        while True:
            try:
                head = await self._read_head()
                if head is None:
                    return
                self._front._busy.add(self._task)
                body = await self._read_body(head)
                req = self._decode(head, body)
            except Refusal as refusal:
                await self._refuse(refusal)
                return
            channel = CallerChannel(self._http, self._writer, self._front._may_keep)
            try:
                await self._until_gone(self._front._handle(req, channel))
            finally:
                self._front._buffered -= len(body)
            self._front._busy.discard(self._task)
            if not self._reset():
                return

    async def _read_head(self):
        limits = self._front._limits()
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
        limits = self._front._limits()
        self._check_framing(head, limits)
        body = bytearray()
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
                    self._check_size(len(body), limits)
                case h11.EndOfMessage():
                    self._front._buffered += len(body)
                    return bytes(body)
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
        """Refuse a request whose end two readers may see at different places.

        With a length and chunks at once, a target may take the rest of the body for
        another request, which would run with nobody having sent it.
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
        if self._front._buffered + size > MAX_BUFFERED_BYTES:
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
            return self._front._dialect.read_request(
                method, bytes(head.target), tuple(head.headers), body, now
            )
        except BadRequest as exc:
            self._front._buffered -= len(body)
            raise Refusal(400, exc.detail) from exc

    async def _refuse(self, refusal):
        """Answer a request that couldn't be read, and close."""
        self._front._log.info(
            "request_unreadable", status=refusal.status, reason=refusal.reason
        )
        channel = CallerChannel(self._http, self._writer, lambda: False)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        fields = self._front._dialect.refusal_fields("", refusal.retry_after)
        await channel.answer(refusal.status, fields, refusal.reason.encode())
        await self._close_gently()

    async def _close_gently(self):
        """Let the caller read the answer before the connection goes.

        Closing with unread bytes resets the connection, and the reset can overtake
        the answer.
        """
        if self._writer.can_write_eof():
            self._writer.write_eof()
        try:
            async with asyncio.timeout(LINGER_SECONDS):
                while await self._reader.read(READ_BYTES):
                    pass
        except (TimeoutError, OSError):
            return

    async def _until_gone(self, handling):
        """Run a handler until it is done or the caller has left.

        What nobody waits for any longer would still take the places of others.
        """
        task = asyncio.ensure_future(handling)
        try:
            await asyncio.wait((task, self._gone), return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                task.cancel("caller gone")
            await asyncio.wait((task,))
        finally:
            task.cancel()
        if not task.cancelled() and task.exception() is not None:
            raise task.exception()

    def _reset(self):
        """Make ready for the next request; return whether there may be one."""
        http = self._http
        if self._gone.done() or self._writer.is_closing():
            return False
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()
            return True
        return False


LINGER_SECONDS = 1.0
"""Time for a caller to read the answer to a request that wasn't read to its end."""
