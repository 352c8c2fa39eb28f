"""A connection whose reads end at a deadline, for cheroot."""

import socket
import time
from typing import Any

from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection

from swifttide_daemon.web._strict_request import StrictRequest


class _DeadlineSocket:
    """A socket whose reads together end at the connection's deadline.

    A socket's own timeout starts anew with each byte: a caller that sends one byte
    every few seconds holds a thread for hours, and as many of them as there are
    threads stop the host.
    """

    def __init__(self, sock: socket.socket, conn: "StrictConnection"):
        self._sock = sock
        self._conn = conn

    def recv_into(self, *args: Any) -> int:
        """Read; raises TimeoutError past the deadline."""
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
    """One caller's or peer's connection.

    Attributes
    ----------
    read_until : float
        Monotonic time at which reading ends.
    """

    RequestHandlerClass = StrictRequest

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile):
        super().__init__(server, sock, makefile)
        self.read_until = time.monotonic() + server.timeout
        self.rfile = makefile(_DeadlineSocket(sock, self), "rb", self.rbufsize)
        self._counted = True
        server.count_connection(+1)

    def close(self) -> None:
        """Close the socket; may be called again."""
        if self._counted:
            self._counted = False
            self.server.count_connection(-1)
        super().close()
