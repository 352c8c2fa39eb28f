"""The way back to a caller, for one request."""

import h11

MAX_UNSENT_BYTES = 65_536
"""Bytes that wait for a slow caller before its target is made to wait too."""


class CallerChannel:
    """Writes one answer to a caller's connection.

    Parameters
    ----------
    http : h11.Connection
    writer : asyncio.StreamWriter
    may_keep_alive : callable
        Tells whether the connection may be used again afterwards.
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
        """Send the head of the answer.

        Parameters
        ----------
        status : int
        fields : list of (bytes, bytes)
            Without those that concern the connection.
        length : int or None
            Bytes of the body; None for a body in chunks.
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
        """End the answer as complete."""
        self._writer.write(self._http.send(h11.EndOfMessage()))
        self.finished = True
        await self._drain()

    async def answer(
        self, status: int, fields: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole answer."""
        await self.start(status, fields, len(body))
        if body:
            await self.write(body)
        await self.finish()

    def abort(self) -> None:
        """End an answer that isn't complete, so that the caller sees it."""
        self.aborted = True
        self._writer.transport.abort()

    async def _drain(self):
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            await self._writer.drain()
