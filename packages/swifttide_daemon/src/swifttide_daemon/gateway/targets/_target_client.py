"""Sends requests to targets and reads their answers.

For each failure it decides whether the request has not run, so that it may be sent
again, or may have run. It accepts a successful answer only with the target's stamp and
the id of the attempt.
"""

import asyncio
from collections.abc import Awaitable, Callable

import h11

from swifttide_core.forwarding import TargetEntry
from swifttide_daemon.gateway.callers._dialect import Dialect
from swifttide_daemon.gateway.http._client_connection import ClientConnection
from swifttide_daemon.gateway.http._connection_pool import ConnectionPool
from swifttide_daemon.gateway.targets._silence_guard import SilenceGuard
from swifttide_daemon.gateway.targets._target_answer import (
    AnswerHead,
    MayHaveRun,
    NotRun,
    TargetFailure,
)
from swifttide_daemon.gateway.targets._target_prober import TargetProber
from swifttide_daemon.gateway.targets._target_uploads import TargetUploads

MAX_STRAY_ANSWERS = 4
"""Maximum number of answers to earlier requests that are skipped for one request."""

MAX_ANSWER_BYTES = 8_388_608
"""Largest answer of a service without streaming, which is read whole before it is
forwarded."""

MAX_DISCARD_SECONDS = 0.05
"""Time to read the rest of an answer that isn't used, so that its connection can be
reused. An answer that says that its request has not run mostly comes in one piece."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""HTTP statuses by which a target states that the request has not run."""


class TargetExchange:
    """An answer of a target, read in chunks until it is complete or cancelled.

    Parameters
    ----------
    conn : ClientConnection
    guard : SilenceGuard
    head : AnswerHead
    target : TargetEntry
    pool : ConnectionPool
    """

    def __init__(self, conn, guard, head, target, pool):
        self.head = head
        self._guard = guard
        self.target = target
        self.complete = False
        self._conn = conn
        self._pool = pool

    async def read_piece(self) -> bytes | None:
        """Return the next chunk of the body, None at its end.

        Raises
        ------
        TargetFailure
            The answer ended before it was complete.
        """
        try:
            piece = await self._conn.read_data()
        except (OSError, h11.RemoteProtocolError, EOFError) as exc:
            self.cancel()
            reason = f"broke off: {describe_exception(exc)}"
            raise TargetFailure(MayHaveRun(reason, broken=True)) from exc
        self._guard.progress()
        if piece is None and self._guard.fired:
            # An answer without a length ends when its connection is closed, even if the
            # silence guard of this host has closed it.
            self.cancel()
            raise TargetFailure(MayHaveRun("out of reach", broken=True))
        if piece is None:
            self.complete = True
            self._guard.stop()
            self._pool.give_back(
                self.target.ip, self.target.port, self._conn, self.head.idle_seconds
            )
        return piece

    async def read_body(
        self, hold: Callable[[int], Awaitable[None]] | None = None
    ) -> bytes:
        """Return the whole body; raises `TargetFailure`.

        Parameters
        ----------
        hold : callable or None
            Called with the number of bytes read so far; the next chunk is read when
            it returns.
        """
        body = bytearray()
        while (piece := await self.read_piece()) is not None:
            body += piece
            if len(body) > MAX_ANSWER_BYTES:
                self.cancel()
                raise TargetFailure(MayHaveRun("an answer that is too long"))
            if hold is not None:
                await hold(len(body))
        return bytes(body)

    async def discard(self) -> None:
        """Read the rest of an answer that isn't used, or close its connection.

        The head has decided: nothing waits for a body that may never end.
        """
        try:
            async with asyncio.timeout(MAX_DISCARD_SECONDS):
                await self.read_body()
        except (TimeoutError, TargetFailure):
            self.cancel()
        except BaseException:
            self.cancel()
            raise

    def cancel(self) -> None:
        """Close the connection, so that the target stops processing the request."""
        self.complete = True
        self._guard.stop()
        self._conn.close()


class TargetClient:
    """Sends requests to targets.

    Parameters
    ----------
    dialect : Dialect
    pool : ConnectionPool
    prober : TargetProber
    uploads : TargetUploads
    """

    def __init__(
        self,
        dialect: Dialect,
        pool: ConnectionPool,
        prober: TargetProber,
        uploads: TargetUploads,
    ):
        self._dialect = dialect
        self._pool = pool
        self._prober = prober
        self._uploads = uploads

    def is_connected(self, target: TargetEntry) -> bool:
        """Return whether this host has an idle connection to a target."""
        return self._pool.has_idle(target.ip, target.port)

    async def connect(
        self, target: TargetEntry, n_bytes: int, expires_at: float
    ) -> ClientConnection:
        """Return a connection to a target that has room for a request's body.

        Parameters
        ----------
        target : TargetEntry
        n_bytes : int
            Size of the body, which must be sent without further waiting.
        expires_at : float
            Deadline of the request as a time of the event loop in seconds.

        Raises
        ------
        TargetFailure
            There is no connection, or the target reads other bodies too slowly.
        """
        give_up_at = self._uploads.give_up_at(expires_at)
        while True:
            await self._uploads.wait_for_room(target.id, n_bytes, give_up_at)
            conn = await self._open(target)
            if self._uploads.has_room(target.id, n_bytes):
                return conn
            # Another body was sent while the connection was opened.
            self.release(target, conn)

    async def _open(self, target):
        try:
            conn, _ = await self._pool.take(target.ip, target.port)
        except Exception as exc:
            # Nothing was sent, whatever went wrong.
            self._prober.note_unreachable(target)
            reason = f"no connection: {describe_exception(exc)}"
            refused = isinstance(exc, ConnectionRefusedError)
            outcome = NotRun(reason, reached=False, refused=refused)
            raise TargetFailure(outcome) from exc
        return conn

    def check_end(self, target: TargetEntry) -> None:
        """Find out whether a target has ended, as a connection to it broke."""
        self._prober.check_end(target)

    def release(self, target: TargetEntry, conn: ClientConnection) -> None:
        """Return an unused connection to the pool."""
        self._pool.give_back(target.ip, target.port, conn, None)

    async def send(
        self,
        conn: ClientConnection,
        target: TargetEntry,
        attempt: str,
        method: str,
        path: bytes,
        fields: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> TargetExchange:
        """Send a request and read the head of its answer.

        Parameters
        ----------
        conn : ClientConnection
            A connection to the target.
        target : TargetEntry
        attempt : str
            Id of this attempt, which the answer must repeat.
        method : str
        path : bytes
            Path and query.
        fields : list of (bytes, bytes)
        body : bytes

        Raises
        ------
        TargetFailure
            The target did not run it, or may have run it.
        """
        guard = SilenceGuard(conn, target, self._prober)
        try:
            self._uploads.prepare(conn)
            self._write(conn, method, path, fields, body)
            self._uploads.record_sent(target.id, conn)
            head = await self._read_own_head(conn, attempt)
        except (OSError, h11.RemoteProtocolError, EOFError) as exc:
            guard.stop()
            conn.close()
            reason = f"no answer: {describe_exception(exc)}"
            raise TargetFailure(MayHaveRun(reason, broken=True)) from exc
        except BaseException:
            # The caller has left or the time limit has passed: closing the connection
            # makes the target stop its work.
            guard.stop()
            conn.close()
            raise
        exchange = TargetExchange(conn, guard, head, target, self._pool)
        if head.not_run:
            await exchange.discard()
            wrong = head.status == 421
            raise TargetFailure(NotRun(f"refused with {head.status}", wrong))
        self._check(exchange)
        return exchange

    def _write(self, conn, method, path, fields, body):
        """Write a request; raises `TargetFailure` if it can't be expressed in HTTP."""
        try:
            conn.send(method, path, fields, body)
        except h11.LocalProtocolError as exc:
            reason = f"not sent: {describe_exception(exc)}"
            raise TargetFailure(NotRun(reason, reached=False)) from exc

    async def _read_own_head(self, conn, attempt) -> AnswerHead:
        """Return the head of the answer to this attempt.

        A target may send a second answer to an earlier request. It arrives where the
        next answer is expected, and the caller would get the answer to another request.
        """
        for _ in range(MAX_STRAY_ANSWERS):
            head = self._dialect.read_answer(*await conn.read_head())
            if not head.attempt or head.attempt == attempt:
                return head
            await conn.read_body(MAX_ANSWER_BYTES)
            conn.skip_answer()
        raise h11.RemoteProtocolError("only answers to other requests")

    def _check(self, exchange):
        """Reject a successful answer without the target's stamp or attempt id.

        A fault at the target can corrupt the head of an answer. If it were forwarded,
        the caller would take it for the answer to its request.
        """
        head = exchange.head
        if head.status < 400 and not (head.stamp and head.attempt):
            exchange.cancel()
            raise TargetFailure(MayHaveRun("an answer without the target's mark"))


def describe_exception(exc: BaseException) -> str:
    """Return an exception's type and the first 80 characters of its message."""
    text = str(exc)[:80]
    kind = type(exc).__name__
    return f"{kind}: {text}" if text else kind
