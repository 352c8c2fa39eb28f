"""One outgoing HTTP/1.1 connection, one request at a time."""

import asyncio
import socket

import h11

from swifttide_daemon.gateway._sockets import (
    CONNECT_TIMEOUT_SECONDS,
    set_socket_options,
)
from swifttide_daemon.gateway.callers._http_fields import Fields

READ_BYTES = 65_536

MAX_CHUNK_PAUSE_SECONDS = 0.5
"""Longest pause between pieces of an answer that has begun: 64 KB take 35 ms on a link
of 15 Mbit/s, and some other answers come in between."""


class ClientConnection:
    """A connection to a target, the store or another host.

    Parameters
    ----------
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter
    """

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.idle_until = 0.0
        self._http = h11.Connection(h11.CLIENT)
        self._request = None

    @classmethod
    async def open(
        cls, ip: str, port: int, seconds: float = CONNECT_TIMEOUT_SECONDS
    ) -> "ClientConnection":
        """Connect; raises `OSError`, `TimeoutError` among them."""
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, port)
        sock = writer.get_extra_info("socket")
        if sock is not None and sock.family == socket.AF_INET:
            set_socket_options(sock)
        return cls(reader, writer)

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent.

        A connection with unread bytes isn't: they may be a second answer to an
        earlier request, and would be taken for the answer to the next one.
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
        """Start sending a whole request; raises `OSError`.

        It doesn't wait until the other end has read all of it: a target may answer
        a long request early, and would otherwise be waited for in vain.
        """
        self._request = h11.Request(method=method, target=target, headers=fields)
        data = self._http.send(self._request)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self.writer.write(data)

    async def read_head(self) -> tuple[int, Fields]:
        """Return status and fields of the answer.

        Raises
        ------
        OSError
            The connection broke.
        h11.RemoteProtocolError
            What came is no answer.
        """
        while True:
            match await self._next():
                case h11.Response() as head:
                    return head.status_code, tuple(head.headers)
                case h11.InformationalResponse():
                    continue
                case other:
                    raise h11.RemoteProtocolError(f"got {type(other).__name__}")

    async def read_data(self) -> bytes | None:
        """Return the next piece of the answer's body, None at its end."""
        match await self._next():
            case h11.Data() as piece:
                return bytes(piece.data)
            case h11.EndOfMessage():
                return None
            case other:
                raise h11.RemoteProtocolError(f"got {type(other).__name__}")

    async def read_body(
        self, max_bytes: int, limit: asyncio.Timeout | None = None
    ) -> bytes:
        """Return the answer's whole body; raises when it is over ``most`` bytes.

        Parameters
        ----------
        most : int
        limit : asyncio.Timeout or None
            Put off with each piece that comes. A large answer on a narrow link takes
            longer than a small one; given up and asked for again, it would never
            arrive, and the link be busy all the time.
        """
        body = bytearray()
        while (piece := await self.read_data()) is not None:
            body += piece
            if limit is not None:
                now = asyncio.get_running_loop().time()
                limit.reschedule(max(limit.when(), now + MAX_CHUNK_PAUSE_SECONDS))
            if len(body) > max_bytes:
                raise h11.RemoteProtocolError(f"a body of over {max_bytes} bytes")
        return bytes(body)

    def skip_answer(self) -> None:
        """Go on to the next answer on this connection.

        The answer that was read belongs to an earlier request; the one to the request
        at hand is still to come.
        """
        rest = self._http.trailing_data[0]
        self._http = h11.Connection(h11.CLIENT)
        self._http.send(self._request)
        # Only the state matters here: the request's bytes have been sent before.
        if self._http.our_state is h11.SEND_BODY:
            length = dict(self._request.headers).get(b"content-length", b"0")
            if int(length):
                self._http.send(h11.Data(data=bytes(int(length))))
            self._http.send(h11.EndOfMessage())
        if rest:
            self._http.receive_data(rest)

    def finish(self) -> None:
        """Make ready for the next request, where the answer allows it."""
        http = self._http
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            http.start_next_cycle()

    def close(self) -> None:
        """Drop the connection at once, which cancels what runs at the other end."""
        self.writer.transport.abort()

    async def _next(self):
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            data = await self.reader.read(READ_BYTES)
            self._http.receive_data(data)
