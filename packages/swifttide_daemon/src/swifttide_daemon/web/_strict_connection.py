"""cheroot connection with one deadline for all reads of a request."""

import socket
import time
from typing import Any

from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection

from swifttide_daemon.web._strict_request import StrictRequest


class _DeadlineSocket:
    """Socket wrapper whose reads fail after the deadline of the connection.

    The timeout of a socket restarts with each byte: a caller that sends one byte
    every few seconds would occupy a thread for hours, and as many such callers as
    there are threads would block the host.
    """

    def __init__(self, sock: socket.socket, conn: "StrictConnection"):
        self._sock = sock
        self._conn = conn

    def recv_into(self, *args: Any) -> int:
        """Read into a buffer; raise TimeoutError past the deadline."""
        left = self._conn.read_until - time.monotonic()
        if left <= 0:
            raise TimeoutError("timed out")
        usual = self._sock.gettimeout()
        self._sock.settimeout(left)
        try:
            return self._sock.recv_into(*args)
        finally:
            self._sock.settimeout(usual)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


class StrictConnection(HTTPConnection):
    """Connection of a caller or of another host.

    Attributes
    ----------
    read_until : float
        Deadline of all reads, in seconds of the monotonic clock. The request handler
        moves it when a request and when its body begins.
    """

    RequestHandlerClass = StrictRequest

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile):
        super().__init__(server, sock, makefile)
        self.read_until = time.monotonic() + server.timeout
        self.rfile = makefile(_DeadlineSocket(sock, self), "rb", self.rbufsize)
        self._counted = True
        server.count_connection(+1)

    def close(self) -> None:
        """Close the socket; repeated calls count the connection only once."""
        if self._counted:
            self._counted = False
            self.server.count_connection(-1)
        super().close()
