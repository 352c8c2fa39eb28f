"""Answers the balancer's question whether this host takes requests."""

import asyncio
from collections.abc import Callable

REQUEST_SECONDS = 2.0
"""Time for a question; the balancer asks every second."""

MAX_REQUEST_BYTES = 8_192


class ReadyServer:
    """A port that says yes or no.

    Parameters
    ----------
    path : str
        Path of the question.
    is_ready : callable
        Returns whether the host takes requests.
    """

    def __init__(self, path: str, is_ready: Callable[[], bool]):
        self._path = path
        self._is_ready = is_ready
        self._server = None

    async def listen(self, ip: str, port: int) -> int:
        """Accept connections; return the port."""
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=MAX_REQUEST_BYTES
        )
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            async with asyncio.timeout(REQUEST_SECONDS):
                head = await reader.readuntil(b"\r\n\r\n")
            writer.write(self._answer(head))
            await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            # Whoever asks so gets no answer, which counts as a no.
            pass
        finally:
            writer.close()

    def _answer(self, head: bytes) -> bytes:
        words = head.split(b" ", 2)
        if len(words) < 3 or words[1].decode("latin-1") != self._path:
            status = b"404 Not Found"
        elif self._is_ready():
            status = b"200 OK"
        else:
            status = b"503 Service Unavailable"
        return (
            b"HTTP/1.1 "
            + status
            + b"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
        )
