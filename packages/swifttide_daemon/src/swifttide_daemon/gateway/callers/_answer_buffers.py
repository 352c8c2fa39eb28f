"""Bytes of answers that this host holds for its callers.

The decisions are those of `MemoryBudget`; this module observes the connections, waits
and aborts connections. Without a budget, each connection waits for its own caller.
"""

import asyncio

from swifttide_core.buffering import DeliveryProgress, GiveUp, MemoryBudget, ReadOn
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.http._sockets import (
    USER_TIMEOUT_MILLISECONDS,
    limit_kernel_unsent_bytes,
    set_user_timeout,
    unacknowledged_bytes,
)
from swifttide_daemon.gateway.targets._target_uploads import TargetUploads
from swifttide_daemon.telemetry import EventLog

MAX_UNSENT_BYTES = 65_536
"""Unsent bytes up to which a connection never waits for its caller."""

PAUSE_POLL_SECONDS = 0.02
"""Interval in which a paused connection asks again. 64 KB take 35 ms on a link of
15 Mbit/s."""

STALLED_READER_SECONDS = 4.0
"""Time without any progress after which a reader is given up in any case. A reader of
10 kB/s on loopback makes progress every 3.2 s, as its window opens by 32 KB at a time.
"""

REFRESH_SECONDS = 0.01
"""Shortest time between two observations of all connections. One takes 0.5 ms with 500
connections."""


class AnswerBuffers:
    """The bytes held for all callers of a host.

    Parameters
    ----------
    budget : MemoryBudget or None
        None if the memory of the host isn't limited.
    uploads : TargetUploads or None
        Request bodies that targets haven't read yet.
    metrics : GatewayMetrics or None
    log : EventLog or None
        Both are needed with a budget only.
    """

    def __init__(
        self,
        budget: MemoryBudget | None = None,
        uploads: TargetUploads | None = None,
        metrics: GatewayMetrics | None = None,
        log: EventLog | None = None,
    ):
        self.budget = budget
        self._uploads = uploads
        self._metrics = metrics
        self._log = log
        self._buffers: set[AnswerBuffer] = set()
        self._refreshed_at = float("-inf")

    @property
    def held_bytes(self) -> int:
        """Bytes held now, also of requests; 0 without a budget."""
        return self.budget.held_bytes if self.budget is not None else 0

    def open(self, writer: asyncio.StreamWriter) -> "AnswerBuffer":
        """Return the buffer of a caller's new connection."""
        buffer = AnswerBuffer(self, writer)
        if self.budget is not None:
            sock = writer.get_extra_info("socket")
            if sock is not None:
                limit_kernel_unsent_bytes(sock)
            self._buffers.add(buffer)
            self.update(buffer)
        return buffer

    def update(self, buffer: "AnswerBuffer") -> None:
        """Tell the budget what a connection holds now."""
        if buffer not in self._buffers:
            return
        now = asyncio.get_running_loop().time()
        unsent = buffer.unsent_bytes
        sent = buffer.written_bytes - unsent
        self.budget.update(buffer, unsent, sent, buffer.collected_bytes, now)

    def refresh(self) -> None:
        """Tell the budget, if any, what all connections hold now."""
        if self.budget is None:
            return
        self._refreshed_at = asyncio.get_running_loop().time()
        for buffer in list(self._buffers):
            if buffer.is_closed and not buffer.unsent_bytes:
                self.forget(buffer)
            else:
                self.update(buffer)
        if self._uploads is not None:
            self._uploads.refresh()

    def forget(self, buffer: "AnswerBuffer") -> None:
        """Stop to observe a connection that holds nothing more."""
        self._buffers.discard(buffer)
        if self.budget is not None:
            self.budget.forget(buffer)

    async def wait_for_room(self, buffer: "AnswerBuffer") -> None:
        """Wait while a connection must not read more from its target.

        Raises
        ------
        ConnectionAbortedError
            The connection is closed, possibly because its reader was given up.
        """
        while not buffer.is_closing:
            match self._decide(buffer):
                case ReadOn():
                    return
                case GiveUp() as decision:
                    self.give_up(decision)
                case _:
                    await asyncio.sleep(PAUSE_POLL_SECONDS)
        raise ConnectionAbortedError("the caller's connection is closed")

    def _decide(self, buffer):
        now = asyncio.get_running_loop().time()
        self.update(buffer)
        decision = self.budget.decide(buffer, now)
        if isinstance(decision, ReadOn) or now - self._refreshed_at < REFRESH_SECONDS:
            return decision
        self.refresh()
        return self.budget.decide(buffer, now)

    def give_up(self, decision: GiveUp) -> None:
        """Abort the connection of a reader."""
        buffer = decision.reader
        self._log.warning(
            "reader_given_up",
            request_id=buffer.request_id,
            held_bytes=decision.held_bytes,
            seconds=round(decision.stalled_seconds, 3),
        )
        self._metrics.reader_given_up()
        buffer.abort()
        self.forget(buffer)


class AnswerBuffer:
    """The bytes held for one caller's connection.

    Parameters
    ----------
    buffers : AnswerBuffers
    writer : asyncio.StreamWriter

    Attributes
    ----------
    request_id : str
        Id of the latest request of the connection.
    written_bytes : int
        Bytes written since the connection was opened.
    collected_bytes : int
        Bytes of an answer that is read whole before it is written.
    is_closed : bool
        Whether nothing more is written, although bytes may be unsent.
    """

    def __init__(self, buffers: AnswerBuffers, writer: asyncio.StreamWriter):
        self._buffers = buffers
        self._writer = writer
        self._socket = writer.get_extra_info("socket")
        self._progress = DeliveryProgress()
        self._delivered_bytes = 0
        self._user_timeout = USER_TIMEOUT_MILLISECONDS
        self.request_id = ""
        self.written_bytes = 0
        self.collected_bytes = 0
        self.is_closed = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes written that the kernel hasn't taken yet."""
        return self._writer.transport.get_write_buffer_size()

    @property
    def outstanding_bytes(self) -> int:
        """Bytes written that the caller's side hasn't acknowledged."""
        if self.written_bytes == self._delivered_bytes:
            return 0
        found = self.unsent_bytes + unacknowledged_bytes(self._socket)
        if not found:
            self._delivered_bytes = self.written_bytes
        return found

    def check_progress(self, now: float) -> None:
        """Give up a reader that takes nothing; be patient with one that is slow.

        The kernel's limit on unacknowledged data also counts while a reader's window is
        smaller than what is to be sent next, however steadily the window moves. So
        while bytes are outstanding, this check takes the place of that limit.
        """
        n_bytes = self.outstanding_bytes
        seconds = self._progress.update(now, self.written_bytes, n_bytes)
        if self.is_closing and not n_bytes:
            return
        if seconds >= STALLED_READER_SECONDS:
            self._buffers.give_up(GiveUp(self, n_bytes, seconds))
            return
        limit = 0 if n_bytes else USER_TIMEOUT_MILLISECONDS
        if limit != self._user_timeout:
            set_user_timeout(self._socket, limit)
            self._user_timeout = limit

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or being closed."""
        return self._writer.transport.is_closing()

    def write(self, data: bytes) -> None:
        """Write bytes to the caller without waiting."""
        self.written_bytes += len(data)
        self._writer.write(data)

    async def wait_after_piece(self) -> None:
        """Wait until the next piece of the answer may be read; raises `OSError`."""
        if self._is_bounded:
            if self.unsent_bytes:
                await self._buffers.wait_for_room(self)
        else:
            await self._drain()

    async def wait_after_end(self) -> None:
        """Wait after the last byte of an answer; raises `OSError`.

        With a budget, the answer is held until `deliver` ends. Its delivery then isn't
        subject to the deadline of the request, and its target is free meanwhile.
        """
        if self._is_bounded:
            self._buffers.update(self)
        else:
            await self._drain()

    async def deliver(self) -> None:
        """Wait until the caller has taken almost the whole answer; raises `OSError`."""
        if self._is_bounded:
            await self._drain()

    async def hold_collected(self, n_bytes: int) -> None:
        """Hold bytes of an answer that is read whole, and wait for room for more.

        Parameters
        ----------
        n_bytes : int
            Bytes collected so far; 0 once they are written or discarded.
        """
        self.collected_bytes = n_bytes
        if not self._is_bounded:
            return
        if n_bytes:
            await self._buffers.wait_for_room(self)
        else:
            self._buffers.update(self)

    def close(self) -> None:
        """Forget the connection as soon as its last byte is sent."""
        self.is_closed = True
        self.collected_bytes = 0
        if self._is_bounded and not self.unsent_bytes:
            self._buffers.forget(self)

    def abort(self) -> None:
        """Abort the connection, which shows the caller an incomplete answer."""
        self._writer.transport.abort()

    @property
    def _is_bounded(self):
        return self._buffers.budget is not None

    async def _drain(self):
        if self.unsent_bytes > MAX_UNSENT_BYTES:
            await self._writer.drain()
