"""Minimal HTTP server for a single status page, such as a readiness probe."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from swifttide_daemon.telemetry import EventLog

REQUEST_TIMEOUT_SECONDS = 2.0
"""Timeout for receiving a request and sending the page. The load balancer probes every
second."""

MAX_REQUEST_BYTES = 8_192


@dataclass(frozen=True, slots=True)
class StatusPage:
    """HTTP response of a status page.

    Parameters
    ----------
    status : bytes
        Status code and reason phrase.
    body : bytes
    content_type : str
    """

    status: bytes
    body: bytes = b""
    content_type: str = "text/plain"


OK = StatusPage(b"200 OK")
NOT_READY = StatusPage(b"503 Service Unavailable")
NOT_FOUND = StatusPage(b"404 Not Found")


class StatusServer:
    """HTTP server with one page.

    Parameters
    ----------
    path : str
        URL path of the page. Other paths are answered with 404.
    page : callable
        Returns the current `StatusPage`.
    log : EventLog
    """

    def __init__(self, path: str, page: Callable[[], StatusPage], log: EventLog):
        self._path = path
        self._page = page
        self._log = log
        self._server = None

    async def listen(self, ip: str, port: int) -> int:
        """Start to accept connections; return the port that is bound."""
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=MAX_REQUEST_BYTES
        )
        return self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write(self._answer(head))
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError) as exc:
            # An unreadable or incomplete request gets no answer. A load balancer
            # counts that as a failed probe.
            self._log.debug("question_unreadable", detail=type(exc).__name__)
        finally:
            writer.close()

    def _answer(self, head: bytes) -> bytes:
        words = head.split(b" ", 2)
        asked = len(words) == 3 and words[1].decode("latin-1") == self._path
        page = self._page() if asked else NOT_FOUND
        fields = (
            f"Content-Type: {page.content_type}\r\n"
            f"Content-Length: {len(page.body)}\r\nConnection: close\r\n\r\n"
        )
        return b"HTTP/1.1 " + page.status + b"\r\n" + fields.encode() + page.body
