"""Writes the HTTP response to one request of a caller."""

import h11

MAX_UNSENT_BYTES = 65_536
"""Unsent bytes from which writes wait for a slow caller, which also stops reading from
the target."""


class CallerChannel:
    """Writes one response to a caller's connection.

    Parameters
    ----------
    http : h11.Connection
        HTTP/1.1 state of the connection.
    writer : asyncio.StreamWriter
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

    def __init__(self, http, writer, may_keep_alive):
        self._http = http
        self._writer = writer
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
        fields = [f for f in fields if f[0].lower() != b"content-length"]
        if length is not None:
            fields.append((b"Content-Length", str(length).encode()))
        elif status not in (204, 304):
            fields.append((b"Transfer-Encoding", b"chunked"))
        if not self._may_keep_alive():
            fields.append((b"Connection", b"close"))
        head = h11.Response(status_code=status, headers=fields)
        self.started = True
        self._writer.write(self._http.send(head))
        await self._drain()

    async def write(self, piece: bytes) -> None:
        """Send a piece of the body."""
        self._writer.write(self._http.send(h11.Data(data=piece)))
        await self._drain()

    async def finish(self) -> None:
        """End the response as complete."""
        self._writer.write(self._http.send(h11.EndOfMessage()))
        self.finished = True
        await self._drain()

    async def answer(
        self, status: int, fields: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response with a body of known length."""
        await self.start(status, fields, len(body))
        if body:
            await self.write(body)
        await self.finish()

    def abort(self) -> None:
        """Abort the connection, which shows the caller an incomplete response."""
        self.aborted = True
        self._writer.transport.abort()

    async def _drain(self):
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            await self._writer.drain()
