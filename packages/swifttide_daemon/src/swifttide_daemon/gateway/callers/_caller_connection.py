"""Reads and answers the requests of one connection of a caller."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import h11

from swifttide_core.buffering import PieceBudget
from swifttide_daemon.gateway.callers._answer_buffers import AnswerBuffer
from swifttide_daemon.gateway.callers._caller_channel import CallerChannel
from swifttide_daemon.gateway.callers._caller_request import CallerRequest
from swifttide_daemon.gateway.callers._dialect import BadRequest
from swifttide_daemon.gateway.callers._http_fields import all_values
from swifttide_daemon.gateway.callers._refusal import HOST_STOPPING, Refusal
from swifttide_daemon.gateway.http._bounded_reading import (
    MIN_REQUEST_PIECE_BYTES,
    EventPace,
)

if TYPE_CHECKING:
    from swifttide_daemon.gateway.callers._frontend import Frontend

READ_BYTES = 65_536

LINGER_SECONDS = 1.0
"""Time for a caller to read the response to a request that wasn't read to its end."""

DELIVERY_POLL_SECONDS = 0.02
"""Time between two looks at what a caller has got."""

Handler = Callable[[CallerRequest, CallerChannel], Awaitable[None]]


class CallerConnection:
    """Reads and answers the requests of one connection, one after the other.

    Parameters
    ----------
    front : Frontend
        Limits of requests, the handler of each, and the state of a shutdown.
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter
    buffer : AnswerBuffer
    """

    def __init__(self, front: "Frontend", reader, writer, buffer: AnswerBuffer):
        self._frontend = front
        self._reader = reader
        self._writer = writer
        self._buffer = buffer
        self._body_bytes = 0
        self._reading: asyncio.Timeout | None = None
        self._pace = EventPace()
        self._disconnected = writer.transport.get_protocol().disconnected
        limit = front.limits().max_header_bytes
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def limit_reading(self, until: float) -> None:
        """Read no longer than until a time of the event loop, in seconds."""
        if self._reading is not None:
            self._reading.reschedule(min(self._reading.when(), until))

    @property
    def has_outstanding_bytes(self) -> bool:
        """Whether the caller hasn't got all that was written."""
        return self._buffer.outstanding_bytes > 0

    async def finish(self) -> None:
        """Wait until all that was written has arrived, before the connection closes.

        The process may end right after the connection, and the bytes with it.
        """
        if not self._writer.is_closing() and self.has_outstanding_bytes:
            self._writer.write_eof()
        while not self._writer.is_closing() and self.has_outstanding_bytes:
            await asyncio.sleep(DELIVERY_POLL_SECONDS)

    def check_progress(self, now: float) -> None:
        """Give up a caller that takes nothing of its answer."""
        self._buffer.check_progress(now)

    def close(self) -> None:
        """Close the connection, which has no request in progress."""
        self._writer.close()

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            while await self._serve_request():
                pass
        finally:
            self._release_body()
            self._buffer.close()

    async def _serve_request(self):
        """Read and answer one request; return whether another one may follow."""
        front = self._frontend
        try:
            head = await self._read_head()
            if head is None:
                return False
            req = self._decode(head, await self._read_body(head))
        except Refusal as refusal:
            self._release_body()
            await self._refuse(refusal)
            return False
        if self._writer.is_closing():
            # Closed while the last bytes were read: the answer wouldn't arrive.
            return False
        self._buffer.request_id = req.id
        channel = CallerChannel(self._http, self._buffer, front.may_keep_alive)
        try:
            await self._run_until_disconnect(front.handle(req, channel))
        finally:
            del req
            self._release_body()
        if channel.finished:
            await self._buffer.deliver()
        if not self._start_next_request():
            return False
        if front.ends_reuse and not self._has_unread_bytes():
            # The answer began when the connection could be kept, and said so.
            await self._close_after_linger()
            return False
        front.set_busy(False)
        return True

    def _has_unread_bytes(self) -> bool:
        """Return whether bytes of a further request have arrived."""
        return bool(self._http.trailing_data[0] or self._reader._buffer)

    def _release_body(self):
        self._frontend.add_body_bytes(-self._body_bytes)
        self._body_bytes = 0

    async def _read_head(self):
        limits = self._frontend.limits()
        deadline = asyncio.get_running_loop().time() + limits.idle_seconds
        begun = False
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Request):
                self._frontend.set_busy(True)
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            if not begun and self._http.trailing_data[0]:
                begun = True
                deadline = self._begin_head(limits)
            try:
                data = await self._read(deadline)
            except TimeoutError:
                if begun:
                    raise self._slow_refusal("headers_too_slow") from None
                return None
            if data and not begun:
                begun = True
                deadline = self._begin_head(limits)
            self._receive(data)

    def _begin_head(self, limits) -> float:
        """Note that a request has begun; return by when its head must be complete."""
        self._frontend.set_busy(True)
        return asyncio.get_running_loop().time() + limits.header_seconds

    async def _read(self, deadline) -> bytes:
        """Read bytes; raises `TimeoutError` at the deadline or late in a shutdown."""
        until = min(deadline, self._frontend.read_until)
        try:
            async with asyncio.timeout_at(until) as self._reading:
                return await self._reader.read(READ_BYTES)
        finally:
            self._reading = None

    def _slow_refusal(self, reason) -> Refusal:
        """Return the refusal of a request that wasn't read in time."""
        if asyncio.get_running_loop().time() >= self._frontend.read_until:
            return Refusal(503, HOST_STOPPING, 0.0)
        return Refusal(408, reason)

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
        limits = self._frontend.limits()
        self._check_framing(head, limits)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + limits.idle_seconds
        if self._http.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._writer.write(self._http.send(go_on))
        pieces = PieceBudget(MIN_REQUEST_PIECE_BYTES)
        while True:
            event = await self._next_event()
            match event:
                case h11.Data():
                    if not pieces.take(len(event.data)):
                        raise Refusal(400, "body_in_too_small_pieces")
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
                        data = await self._read(deadline)
                    except TimeoutError:
                        raise self._slow_refusal("body_too_slow") from None
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

    async def _next_event(self):
        await self._pace.step()
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
            return self._frontend.dialect.read_request(
                method, bytes(head.target), tuple(head.headers), body, now
            )
        except BadRequest as exc:
            raise Refusal(400, exc.detail) from exc

    async def _refuse(self, refusal):
        """Answer a request that couldn't be read, and close the connection."""
        self._frontend.log.info(
            "request_unreadable", status=refusal.status, reason=refusal.reason
        )
        channel = CallerChannel(self._http, self._buffer, lambda: False)
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        fields = self._frontend.dialect.refusal_fields("", refusal.retry_after)
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
