"""Writes the HTTP response to one request of a caller."""

import h11

from swifttide_daemon.gateway.callers._answer_buffers import AnswerBuffer


class CallerChannel:
    """Writes one response to a caller's connection.

    Parameters
    ----------
    http : h11.Connection
        HTTP/1.1 state of the connection.
    buffer : AnswerBuffer
        Takes the bytes, and waits where the caller reads slowly.
    may_keep_alive : callable
        Returns whether the connection may be reused for another request.

    Attributes
    ----------
    started : bool
        Whether the head of the response has been written.
    finished : bool
        Whether the whole response has been written.
    aborted : bool
        Whether the connection was closed before the response was complete.
    """

    def __init__(self, http, buffer: AnswerBuffer, may_keep_alive):
        self._http = http
        self._buffer = buffer
        self._may_keep_alive = may_keep_alive
        self.started = False
        self.finished = False
        self.aborted = False

    async def start(
        self, status: int, fields: list[tuple[bytes, bytes]], length: int | None
    ) -> None:
        """Send the head of the response.

        Parameters
        ----------
        status : int
        fields : list of (bytes, bytes)
            Header fields, without those that concern the connection.
        length : int or None
            Length of the body in bytes; None for chunked transfer coding.
        """
        self._write_head(status, fields, length)
        await self._buffer.wait_after_piece()

    def _write_head(self, status, fields, length):
        fields = [f for f in fields if f[0].lower() != b"content-length"]
        if length is not None:
            fields.append((b"Content-Length", str(length).encode()))
        elif status not in (204, 304):
            fields.append((b"Transfer-Encoding", b"chunked"))
        if not self._may_keep_alive():
            fields.append((b"Connection", b"close"))
        head = h11.Response(status_code=status, headers=fields)
        self.started = True
        self._buffer.write(self._http.send(head))

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body."""
        self._buffer.write(self._http.send(h11.Data(data=piece)))
        await self._buffer.wait_after_piece()

    async def finish(self) -> None:
        """End the response as complete."""
        self._buffer.write(self._http.send(h11.EndOfMessage()))
        self.finished = True
        await self._buffer.wait_after_end()

    async def answer(
        self, status: int, fields: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response with a body of known length."""
        self._write_head(status, fields, len(body))
        if body:
            self._buffer.write(self._http.send(h11.Data(data=body)))
        await self.finish()

    async def hold_collected(self, n_bytes: int) -> None:
        """Hold bytes of an answer that is read whole, and wait for room for more.

        Parameters
        ----------
        n_bytes : int
            Bytes collected so far; 0 once they are written or discarded.
        """
        await self._buffer.hold_collected(n_bytes)

    def abort(self) -> None:
        """Abort the connection, which shows the caller an incomplete response."""
        self.aborted = True
        self._buffer.abort()
