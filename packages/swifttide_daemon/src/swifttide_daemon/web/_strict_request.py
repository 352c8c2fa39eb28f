"""cheroot request handler with strict parsing, read deadlines and problem bodies."""

import json
import time
from contextlib import suppress
from typing import Any

from cheroot.server import HTTPRequest, KnownLengthRFile

from swifttide_core.verdicts import Reason, Verdict
from swifttide_daemon.web._chunked_body import ChunkedBody
from swifttide_daemon.web._header_reader import StrictHeaderReader

BODY_TIMEOUT_FACTOR = 4
"""Ratio of the time limit for reading a body to the one for reading the headers.

8 MiB in 120 s are 70 KB/s, which a tablet on a bad connection still reaches.
"""

LAST_CHUNK = b"0\r\n\r\n"
_MIN_SERVER_ERROR_STATUS = 500
_NOT_RUN_STATUSES = frozenset({501, 503, 505})
_REASON_BY_STATUS = {
    408: Reason.TIMEOUT,
    413: Reason.TOO_LARGE,
    414: Reason.TOO_LARGE,
    503: Reason.STOPPING,
}


class StrictRequest(HTTPRequest):
    """Parses and answers one request; refusals are sent as problem bodies.

    Notes
    -----
    A connection whose request has not been read to its end is closed: the unread
    bytes would be parsed as the next request.
    """

    header_reader = StrictHeaderReader()

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self._app_started = False

    def parse_request(self) -> None:
        """Read request line and headers within the server's idle timeout."""
        self.conn.read_until = time.monotonic() + self.server.timeout
        super().parse_request()

    def read_request_headers(self) -> bool:
        """Read the headers; refuse ``Transfer-Encoding`` below HTTP/1.1."""
        if not super().read_request_headers():
            return False
        if b"Transfer-Encoding" in self.inheaders and not self.chunked_read:
            self.simple_response("400 Bad Request", "Transfer-Encoding needs HTTP/1.1")
            return False
        return True

    def respond(self) -> None:
        """Run the application and send its response.

        Reading the body is limited to `BODY_TIMEOUT_FACTOR` times the idle timeout.
        """
        body_seconds = BODY_TIMEOUT_FACTOR * self.server.timeout
        self.conn.read_until = time.monotonic() + body_seconds
        self._app_started = True
        if self.chunked_read:
            self.rfile = ChunkedBody(self.conn.rfile, self.server.max_request_body_size)
        else:
            length = int(self.inheaders.get(b"Content-Length", 0))
            self.rfile = KnownLengthRFile(self.conn.rfile, length)
        self.server.gateway(self).respond()
        self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(LAST_CHUNK)

    def send_headers(self) -> None:
        """Send status and headers; close connections that can't be reused."""
        if (b"Connection", b"close") in self.outheaders:
            # cheroot sends this header but keeps the connection open.
            self.close_connection = True
        if self.chunked_read and not self.rfile.finished:
            self.close_connection = True
        super().send_headers()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer an error on behalf of cheroot, and close the connection.

        cheroot calls this for errors outside of the application, such as malformed
        requests. Its own version answers in plain text and keeps some connections
        open.
        """
        self.close_connection = True
        code = int(str(status)[:3])
        body = json.dumps(self._problem(code, msg or str(status)[4:])).encode()
        verdict = self._verdict(code).value
        head = (
            f"{self.server.protocol} {code} -\r\n"
            "Content-Type: application/problem+json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Swifttide-Verdict: {verdict}\r\n"
            "Connection: close\r\n\r\n"
        )
        with suppress(OSError):
            self.conn.wfile.write(head.encode() + body)

    def _problem(self, code: int, detail: str) -> dict[str, Any]:
        other = (
            Reason.BAD_REQUEST if code < _MIN_SERVER_ERROR_STATUS else Reason.INTERNAL
        )
        reason = _REASON_BY_STATUS.get(code, other)
        return {
            "title": reason.value.replace("_", " "),
            "status": code,
            "reason": reason.value,
            "detail": detail,
            "verdict": self._verdict(code).value,
            "retry_after_seconds": None,
        }

    def _verdict(self, code: int) -> Verdict:
        if not self._app_started or code in _NOT_RUN_STATUSES:
            return Verdict.NOT_RUN
        return Verdict.MAY_HAVE_RUN
