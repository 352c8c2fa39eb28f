"""Reading of chunked request bodies with limits on chunk size and line length.

cheroot reads a chunk completely whatever size it declares, and size lines of any
length: a caller that declares a chunk of a terabyte exhausts the host's memory. It
also accepts signs in sizes and leaves trailers unread, which are then parsed as the
start of the next request.
"""

import re
from typing import Any

from cheroot.server import CRLF

from swifttide_core.buffering import PieceBudget

_SIZE = re.compile(rb"[0-9a-fA-F]{1,8}")
_MAX_SIZE_LINE_BYTES = 64
_EXTENSION = b";"

MIN_CHUNK_BYTES = 256
"""Smallest mean size of the chunks of a body, beyond the first thousand. The work of
reading grows with the chunks: 4 MB in chunks of one byte take many seconds."""


class ChunkedBody:
    """Reader of a chunked body up to a limit.

    Parameters
    ----------
    rfile : file object
        Stream of the connection, positioned at the first chunk.
    max_bytes : int
        Length of the longest accepted body; 0 for no limit.

    Attributes
    ----------
    finished : bool
        Whether the body has been read to its end. Otherwise the connection can't be
        used for another request.
    """

    def __init__(self, rfile: Any, max_bytes: int):
        self._rfile = rfile
        self._max_bytes = max_bytes
        self._buffer = bytearray()
        self._n_read = 0
        self._budget = PieceBudget(MIN_CHUNK_BYTES)
        self.finished = False

    def read(self, size: int = -1) -> bytes:
        """Return `size` bytes, or fewer at the end of the body; all if negative.

        Raises
        ------
        ValueError
            If the chunks are malformed, truncated or longer than the limit.
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
        if not self._budget.take(size):
            raise ValueError("the body has too many small chunks")
        chunk = self._rfile.read(size)
        if len(chunk) < size:
            raise ValueError("the body ended within a chunk")
        self._buffer += chunk
        self._read_crlf()

    def _read_size(self) -> int:
        line = self._rfile.readline(_MAX_SIZE_LINE_BYTES)
        if not line.endswith(CRLF):
            raise ValueError("a chunk has no valid size line")
        digits, _, _ = line[: -len(CRLF)].partition(_EXTENSION)
        if _SIZE.fullmatch(digits) is None:
            raise ValueError("a chunk has no valid size line")
        return int(digits, 16)

    def _read_crlf(self) -> None:
        """Read the CRLF after a chunk or after the last one; refuse trailers."""
        if self._rfile.read(len(CRLF)) != CRLF:
            raise ValueError("a chunk doesn't end with CRLF")
