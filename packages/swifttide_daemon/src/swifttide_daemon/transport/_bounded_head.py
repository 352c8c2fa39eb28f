"""Reads the head of an answer to its end, within bounds on its size and its time.

The time-out of a connection counts from one received byte to the next, and the standard
library skips informational heads for as long as they come. Without these bounds, a
server that sends such bytes without end holds the thread of a call for ever.

The standard library takes the end of a connection for the end of a head. A head that is
cut before the length of its body would have an empty body, which looks whole. Nor does
it notice a line that is cut: the size of a chunk, cut after a leading zero, would be
that of the final chunk.
"""

import http.client
import io
import socket
import time

import urllib3

MAX_HEAD_BYTES = 65_536
"""Longest head, with the informational heads before it."""


class _HeadReader(io.RawIOBase):
    """Reads from a socket, within bounds until the head is complete.

    Parameters
    ----------
    sock : socket.socket
        Its time-out is the time for the whole head.
    """

    def __init__(self, sock: socket.socket):
        self._socket = sock
        self._raw = sock.makefile("rb", buffering=0)
        self._timeout = sock.gettimeout()
        self._began_at = time.monotonic()
        self._n_bytes = 0
        self._is_bounded = True

    def end_head(self) -> None:
        """Lift the bounds: the rest is the body."""
        self._is_bounded = False
        self._socket.settimeout(self._timeout)

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int | None:
        """Read bytes of the head or, after it, of the body.

        Raises
        ------
        TimeoutError, http.client.HTTPException
            The head exceeds a bound, or its connection ended within it.
        """
        if not self._is_bounded:
            return self._raw.readinto(buffer)
        if self._timeout is not None:
            left = self._began_at + self._timeout - time.monotonic()
            if left <= 0.0:
                raise TimeoutError("a head that wasn't complete in time")
            self._socket.settimeout(left)
        n_bytes = self._raw.readinto(buffer)
        if n_bytes == 0 and self._n_bytes:
            raise http.client.HTTPException("a head that was cut")
        self._n_bytes += n_bytes or 0
        if self._n_bytes > MAX_HEAD_BYTES + io.DEFAULT_BUFFER_SIZE:
            raise http.client.HTTPException(f"a head of over {MAX_HEAD_BYTES} bytes")
        return n_bytes

    def close(self) -> None:
        if not self.closed:
            self._raw.close()
        super().close()


class _LineReader(io.BufferedReader):
    """Buffered reader for which the end of a connection is no end of a line."""

    def readline(self, size: int | None = -1) -> bytes:
        line = super().readline(size)
        is_full = size is not None and 0 <= size <= len(line)
        if line and not line.endswith(b"\n") and not is_full:
            raise http.client.HTTPException("a line that was cut")
        return line


class BoundedHeadResponse(http.client.HTTPResponse):
    """Answer whose head is read within bounds."""

    def __init__(self, sock: socket.socket, *args, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        self._reader = _HeadReader(sock)
        self.fp = _LineReader(self._reader)

    def begin(self) -> None:
        """Read the head."""
        super().begin()
        if not self._reader.closed:
            self._reader.end_head()


class _HTTPConnection(urllib3.connection.HTTPConnection):
    response_class = BoundedHeadResponse


class _HTTPSConnection(urllib3.connection.HTTPSConnection):
    response_class = BoundedHeadResponse


class BoundedHTTPPool(urllib3.HTTPConnectionPool):
    """Connections to one host over which heads are read within bounds."""

    ConnectionCls = _HTTPConnection


class BoundedHTTPSPool(urllib3.HTTPSConnectionPool):
    """The same over TLS."""

    ConnectionCls = _HTTPSConnection
