"""The body of a request in chunks, read with bounds.

cheroot reads a chunk whole, whatever size it claims, and a size line without bound:
a caller that claims a chunk of a terabyte takes the host's memory. It also accepts
signs in sizes and leaves trailers unread, which the next request then starts with.
"""

import re
from typing import Any

from cheroot.server import CRLF

_SIZE = re.compile(rb"[0-9a-fA-F]{1,8}")
_MAX_SIZE_LINE_BYTES = 64
_EXTENSION = b";"


class ChunkedBody:
    """Reads chunks up to a limit.

    Parameters
    ----------
    rfile : file object
        The connection.
    max_bytes : int
        Longest body; 0 for no limit.

    Attributes
    ----------
    finished : bool
        Whether the body was read to its end, so that the connection can carry
        another request.
    """

    def __init__(self, rfile: Any, max_bytes: int):
        self._rfile = rfile
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._n_read = 0
        self.finished = False

    def read(self, size: int = -1) -> bytes:
        """Return up to `size` bytes, or all; fewer only at the end.

        Raises
        ------
        ValueError
            The chunks are malformed or longer than the limit.
        """
        while not self.finished and (size < 0 or len(self._buffer) < size):
            self._read_chunk()
        end = len(self._buffer) if size < 0 else size
        data = bytes(self._buffer[:end])
        del self._buffer[:end]
        return data

    def _read_chunk(self) -> None:
        size = self._read_size()
        if size == 0:
            self._read_crlf()
            self.finished = True
            return
        self._n_read += size
        if self._max_bytes and self._n_read > self._max_bytes:
            raise ValueError(f"the body is longer than {self._max_bytes} bytes")
        chunk = self._rfile.read(size)
        if len(chunk) < size:
            raise ValueError("the body broke off")
        self._buffer += chunk
        self._read_crlf()

    def _read_size(self) -> int:
        line = self._rfile.readline(_MAX_SIZE_LINE_BYTES)
        if not line.endswith(CRLF):
            raise ValueError("a chunk has no plain size")
        digits, _, _ = line[: -len(CRLF)].partition(_EXTENSION)
        if _SIZE.fullmatch(digits) is None:
            raise ValueError("a chunk has no plain size")
        return int(digits, 16)

    def _read_crlf(self) -> None:
        """Read the CRLF after a chunk; trailers are refused."""
        if self._rfile.read(len(CRLF)) != CRLF:
            raise ValueError("a chunk doesn't end with CRLF")
