"""HTTP server that answers calls of other hosts."""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from swifttide_core.buffering import PieceBudget, TransferDeadline
from swifttide_daemon.gateway.http._bounded_reading import (
    MIN_REQUEST_PIECE_BYTES,
    MIN_TRANSFER_BYTES_PER_SECOND,
    EventPace,
)
from swifttide_daemon.gateway.http._sockets import set_socket_options
from swifttide_daemon.gateway.peers._peer_messages import (
    PeerAnswer,
    PeerRequest,
    decode_request,
    encode,
)
from swifttide_daemon.telemetry import EventLog

PEER_CALL_PATH = "/peer"
READ_CHUNK_BYTES = 65_536
IDLE_TIMEOUT_SECONDS = 30.0
MAX_BODY_BYTES = 4_194_304

CALL_TIMEOUT_SECONDS = 2.0
"""Time for a small call to arrive, once its first byte has, and longest pause within a
large one. The other host gives most calls up within half a second."""


class PeerServer:
    """Server for calls of other hosts: JSON over HTTP, one task per connection.

    Parameters
    ----------
    handle : callable
        Carries out a request and returns the answer.
    log : EventLog
    """

    def __init__(
        self, handle: Callable[[PeerRequest], Awaitable[PeerAnswer]], log: EventLog
    ):
        self._handle = handle
        self._log = log
        self._server = None

    async def listen(self, ip: str, port: int) -> int:
        """Start to accept connections; return the port that is bound."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        http = h11.Connection(h11.SERVER)
        try:
            set_socket_options(writer.get_extra_info("socket"))
            while await self._serve_one(http, reader, writer):
                http.start_next_cycle()
        except asyncio.CancelledError:
            # The process shuts down while a peer keeps its connection open.
            return
        except (OSError, EOFError, h11.ProtocolError) as exc:
            self._log.debug("peer_connection_lost", detail=type(exc).__name__)
        except Exception as exc:
            self._log.error("peer_call_failed", exc)
        finally:
            writer.close()

    async def _serve_one(self, http, reader, writer) -> bool:
        body = await self._read(http, reader)
        if body is None:
            return False
        try:
            request = decode_request(body)
        except ValueError as exc:
            self._log.warning("peer_call_unreadable", detail=str(exc))
            answer, status = b"", 400
        else:
            answer, status = encode(await self._handle(request)), 200
        fields = [
            (b"Content-Type", b"application/json"),
            (b"Content-Length", str(len(answer)).encode()),
        ]
        data = http.send(h11.Response(status_code=status, headers=fields))
        data += http.send(h11.Data(data=answer))
        data += http.send(h11.EndOfMessage())
        writer.write(data)
        await writer.drain()
        return http.our_state is h11.DONE and http.their_state is h11.DONE

    async def _read(self, http, reader) -> bytes | None:
        """Return the body of the next call; None at the end of the connection.

        A call that has begun must arrive at the rate of a narrow link.
        """
        body = bytearray()
        loop = asyncio.get_running_loop()
        until = loop.time() + IDLE_TIMEOUT_SECONDS
        pace, pieces = EventPace(), PieceBudget(MIN_REQUEST_PIECE_BYTES)
        deadline: TransferDeadline | None = None
        while True:
            await pace.step()
            match http.next_event():
                case h11.Data(data=data):
                    body += data
                    if len(body) > MAX_BODY_BYTES or not pieces.take(len(data)):
                        return None
                case h11.EndOfMessage():
                    return bytes(body)
                case h11.ConnectionClosed():
                    return None
                case h11.Request():
                    continue
                case _:
                    async with asyncio.timeout_at(until):
                        data = await reader.read(READ_CHUNK_BYTES)
                    http.receive_data(data)
                    now = loop.time()
                    deadline = deadline or TransferDeadline(
                        now,
                        CALL_TIMEOUT_SECONDS,
                        MIN_TRANSFER_BYTES_PER_SECOND,
                        CALL_TIMEOUT_SECONDS,
                    )
                    until = deadline.extend(now, len(data))
