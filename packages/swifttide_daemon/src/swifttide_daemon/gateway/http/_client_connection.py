"""Implements an outgoing HTTP/1.1 connection that carries one request at a time.

It is used for requests to targets, to the store and to other hosts.
"""

import asyncio
import socket

import h11

from swifttide_core.buffering import PieceBudget, TransferDeadline
from swifttide_daemon.gateway.callers._http_fields import Fields
from swifttide_daemon.gateway.http._bounded_reading import (
    MAX_INFORMATIONAL_HEADS,
    MIN_ANSWER_PIECE_BYTES,
    MIN_TRANSFER_BYTES_PER_SECOND,
    EventPace,
)
from swifttide_daemon.gateway.http._sockets import (
    CONNECT_TIMEOUT_SECONDS,
    discard_unsent_on_close,
    set_socket_options,
)

READ_BYTES = 65_536

MAX_CHUNK_PAUSE_SECONDS = 0.5
"""Longest time between two chunks of an answer that has begun. 64 KB take 35 ms on a
link of 15 Mbit/s, and chunks of other answers share the link."""


LATE_TIMEOUT_SECONDS = 0.05
"""Delay of a time-out that tells of a standstill of this process."""


async def _open_streams(ip, port, seconds):
    async with asyncio.timeout(seconds):
        return await asyncio.open_connection(ip, port)


class ClientConnection:
    """A connection to a target, the store or another host.

    Parameters
    ----------
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter

    Attributes
    ----------
    opened_at : float
        Time of the event loop at which it was opened, at the latest.
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.opened_at = asyncio.get_running_loop().time()
        self.idle_until = 0.0
        self._http = h11.Connection(h11.CLIENT)
        self._request = None
        self._pace = EventPace()
        self._pieces = PieceBudget(MIN_ANSWER_PIECE_BYTES)

    @classmethod
    async def open(
        cls, ip: str, port: int, seconds: float = CONNECT_TIMEOUT_SECONDS
    ) -> "ClientConnection":
        """Open a connection; raises `OSError`, including `TimeoutError`."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            reader, writer = await _open_streams(ip, port, seconds)
        except TimeoutError:
            if loop.time() - started_at < seconds + LATE_TIMEOUT_SECONDS:
                raise
            # This process has stood still, and the other end may have accepted.
            reader, writer = await _open_streams(ip, port, seconds)
        except (ValueError, OverflowError) as exc:
            # A name that can't be encoded, or a port out of range.
            raise OSError(f"an address that can't be used ({exc})") from exc
        sock = writer.get_extra_info("socket")
        if sock is not None and sock.family == socket.AF_INET:
            set_socket_options(sock)
        return cls(reader, writer)

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection.

        A connection with unread bytes must not be reused: they may be a second answer
        to an earlier request and would be taken for the answer to the next one.
        """
        http = self._http
        quiet = not self.reader.at_eof() and not self.reader._buffer
        return (
            quiet
            and http.our_state is h11.IDLE
            and not http.trailing_data[0]
            and not self.writer.is_closing()
            and not self.writer.transport.get_write_buffer_size()
        )

    def send(
        self,
        method: str,
        target: bytes | str,
        fields: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Write a whole request to the socket buffer; raises `OSError`.

        The method does not wait until the other end has read the request: a target may
        answer a long request early and stop reading, and the wait would never end.
        """
        self._request = h11.Request(method=method, target=target, headers=fields)
        self._pieces = PieceBudget(MIN_ANSWER_PIECE_BYTES)
        data = self._http.send(self._request)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self.writer.write(data)

    async def read_head(self) -> tuple[int, Fields]:
        """Return the status and the header fields of the answer.

        Raises
        ------
        OSError
            The connection is lost.
        h11.RemoteProtocolError
            The received data is not a valid answer.
        """
        for _ in range(1 + MAX_INFORMATIONAL_HEADS):
            match await self._next():
                case h11.Response() as head:
                    return head.status_code, tuple(head.headers)
                case h11.InformationalResponse():
                    continue
                case other:
                    raise h11.RemoteProtocolError(f"got {type(other).__name__}")
        raise h11.RemoteProtocolError(
            f"over {MAX_INFORMATIONAL_HEADS} informational heads"
        )

    async def read_data(self) -> bytes | None:
        """Return the next chunk of the answer's body, None at its end."""
        match await self._next():
            case h11.Data() as piece:
                if not self._pieces.take(len(piece.data)):
                    raise h11.RemoteProtocolError("a body in too small pieces")
                return bytes(piece.data)
            case h11.EndOfMessage():
                return None
            case other:
                raise h11.RemoteProtocolError(f"got {type(other).__name__}")

    async def read_body(
        self, max_bytes: int, limit: asyncio.Timeout | None = None
    ) -> bytes:
        """Return the answer's whole body.

        Raises `h11.RemoteProtocolError` if it is longer than ``max_bytes`` bytes.

        Parameters
        ----------
        max_bytes : int
        limit : asyncio.Timeout or None
            Timeout that is extended while bytes arrive, see `TransferDeadline`. A large
            answer on a slow link takes longer than a small one. If it were abandoned
            and requested again, it would never arrive and the link would be busy all
            the time.
        """
        body = bytearray()
        loop = asyncio.get_running_loop()
        deadline = None
        if limit is not None:
            deadline = TransferDeadline(
                loop.time(),
                limit.when() - loop.time(),
                MIN_TRANSFER_BYTES_PER_SECOND,
                MAX_CHUNK_PAUSE_SECONDS,
            )
        while (piece := await self.read_data()) is not None:
            body += piece
            if deadline is not None:
                limit.reschedule(deadline.extend(loop.time(), len(piece)))
            if len(body) > max_bytes:
                raise h11.RemoteProtocolError(f"a body of over {max_bytes} bytes")
        return bytes(body)

    def skip_answer(self) -> None:
        """Discard the answer that was read and expect another one on this connection.

        The answer belongs to an earlier request; the one to the current request is
        still to come.
        """
        rest = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(self._request)
        # This only advances the protocol state; the request's bytes were sent before.
        if self._http.our_state is h11.SEND_BODY:
            length = dict(self._request.headers).get(b"content-length", b"0")
            if int(length):
                self._http.send(h11.Data(data=bytes(int(length))))
            self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    def finish(self) -> None:
        """Prepare for the next request if request and answer are complete."""
        http = self._http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()

    def close(self) -> None:
        """Abort the connection, which cancels the request at the other end."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            discard_unsent_on_close(sock)
        self.writer.transport.abort()

    async def _next(self):
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                await self._pace.step()
                return event
            data = await self.reader.read(READ_BYTES)
            self._http.receive_data(data)
