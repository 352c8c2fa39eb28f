"""HTTP server for callers: accepts connections and reads requests from them.

The size and the duration of requests are limited, and so is the memory that all bodies
take together. The handling of a request is cancelled when its caller disconnects.
"""

import asyncio
from collections.abc import Callable

import h11

from swifttide_core.forwarding import RequestLimits
from swifttide_daemon.gateway.callers._answer_buffers import AnswerBuffers
from swifttide_daemon.gateway.callers._caller_connection import (
    READ_BYTES,
    CallerConnection,
    Handler,
)
from swifttide_daemon.gateway.callers._dialect import Dialect
from swifttide_daemon.gateway.http._sockets import set_socket_options
from swifttide_daemon.telemetry import EventLog

MAX_BUFFERED_BYTES = 41_943_040
"""Total size of request bodies in memory. The smallest hosts have 170 MB of memory in
all. A memory budget may allow less."""

PROGRESS_CHECK_SECONDS = 1.0
"""Time between two checks of what callers have taken, half of the kernel's limit on
unacknowledged data."""

READ_STOP_MARGIN_SECONDS = 0.5
"""Time before the end of a stop at which the reading of requests ends. A request that
is still incomplete then is refused, and its caller has this time to read the refusal.
"""


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
        Whether the host shuts down. No answer that begins now keeps its connection.
    ends_reuse : bool
        Whether no connection takes another request, also where its last answer began
        before the shutdown and said nothing of it.
    requests_end_at : float or None
        Time of the event loop by which a request that begins now must have ended; None
        while there is none.
    read_until : float
        Time of the event loop until which requests are read.
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
        self.dialect = dialect
        self.limits = limits
        self._may_keep_alive = may_keep_alive
        self.handle = handle
        self.log = log
        self._buffers = buffers if buffers is not None else AnswerBuffers()
        self._server = None
        self._busy: set[asyncio.Task] = set()
        self._connections: dict[asyncio.Task, CallerConnection] = {}
        self._body_bytes = 0
        self.stopping = False
        self.ends_reuse = False
        self.requests_end_at: float | None = None
        self.read_until = float("inf")
        self._stop_ends_at = float("inf")
        self._progress_checked_at = float("-inf")

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
        """Number of connections with a request, or an answer on its way."""
        return sum(self._is_busy(*item) for item in self._connections.items())

    def _is_busy(self, task, conn):
        return task in self._busy or conn.has_outstanding_bytes

    def begin_stop(self, ends_at: float) -> None:
        """Begin to shut down; the port and open connections stay open for now.

        Parameters
        ----------
        ends_at : float
            Time of the event loop at which open connections are aborted.
        """
        self.stopping = True
        self._stop_ends_at = ends_at
        self.read_until = ends_at - READ_STOP_MARGIN_SECONDS
        for conn in self._connections.values():
            conn.limit_reading(self.read_until)

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay open."""
        if self._server is not None:
            self._server.close()

    def end_reuse(self) -> None:
        """Let each connection end with the request that it has, if any.

        A request that is being read is answered, if it can end before the host does.
        """
        self.ends_reuse = True
        if self.stopping:
            self.requests_end_at = self._stop_ends_at
        self.close_idle()

    def close_idle(self) -> None:
        """Close connections without a request and without an answer on its way."""
        for task, conn in list(self._connections.items()):
            if not self._is_busy(task, conn):
                conn.close()

    @property
    def has_room_for_bodies(self) -> bool:
        """Whether the request bodies in memory are within their limit."""
        budget = self._buffers.budget
        most = MAX_BUFFERED_BYTES
        if budget is not None:
            most = min(most, budget.max_request_bytes)
        return self._body_bytes <= most

    def set_busy(self, is_busy: bool) -> None:
        """Record whether the connection of the running task has a request."""
        task = asyncio.current_task()
        (self._busy.add if is_busy else self._busy.discard)(task)

    def may_keep_alive(self) -> bool:
        """Whether the next answer may keep its connection open."""
        return self._may_keep_alive()

    def add_body_bytes(self, n_bytes: int) -> None:
        """Add to the size of request bodies in memory, or subtract from it."""
        self._body_bytes += n_bytes
        if self._buffers.budget is not None:
            self._buffers.budget.set_request_bytes(self._body_bytes)

    def check_progress(self) -> None:
        """Give up callers that take nothing of their answers; call it often."""
        now = asyncio.get_running_loop().time()
        if now - self._progress_checked_at < PROGRESS_CHECK_SECONDS:
            return
        self._progress_checked_at = now
        for conn in list(self._connections.values()):
            conn.check_progress(now)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        try:
            set_socket_options(writer.get_extra_info("socket"))
            conn = CallerConnection(self, reader, writer, self._buffers.open(writer))
            self._connections[task] = conn
            await conn.run()
            await conn.finish()
        except (OSError, EOFError, h11.LocalProtocolError) as exc:
            self.log.debug("caller_lost", detail=type(exc).__name__)
        except Exception as exc:
            self.log.error("connection_failed", exc)
        finally:
            self._busy.discard(task)
            self._connections.pop(task, None)
            writer.close()
