"""Headers of a request, read without leniency.

Between caller and host stands the platform's balancer, which shares its connections
among callers. Where the two disagree on the end of a request, the rest of one
caller's body is taken for the next caller's request and runs with that one's key
(request smuggling). cheroot takes the last of two lengths, a sign or underscore in a
length, and a space before the colon; each of them is refused here instead.
"""

import re
from typing import Any

from cheroot.server import CRLF, HeaderReader

MAX_HEADERS = 100
"""A caller with tracing and a chain of proxies sends some thirty."""

_NAME = re.compile(rb"[!#$%&'*+.^`|~0-9A-Za-z-]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_LENGTH = re.compile(rb"[0-9]{1,15}")
_REPEATABLE = frozenset(
    {
        b"Accept",
        b"Accept-Encoding",
        b"Accept-Language",
        b"Cache-Control",
        b"Cookie",
        b"Forwarded",
        b"Tracestate",
        b"Via",
        b"X-Forwarded-For",
        b"X-Forwarded-Proto",
    }
)
"""Headers that may stand twice; of any other the two ends might take different
ones."""


class StrictHeaderReader(HeaderReader):
    """Reads headers for cheroot; raises ValueError where one is not plain."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read headers up to the empty line.

        Parameters
        ----------
        rfile : file object
            Whose ``readline`` is bounded by the server's limit.
        hdict : dict or None
            Filled, with names in title case as cheroot looks them up.

        Raises
        ------
        ValueError
            With words that quote nothing of the input, which may be a key.
        """
        headers = {} if hdict is None else hdict
        for _ in range(MAX_HEADERS + 1):
            line = rfile.readline()
            if line == CRLF:
                _check_framing(headers)
                return headers
            name, value = _parse(line)
            if name not in headers:
                headers[name] = value
            elif name in _REPEATABLE:
                headers[name] += b", " + value
            else:
                raise ValueError("a header stands twice")
        raise ValueError(f"got more than {MAX_HEADERS} headers")


def _parse(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(CRLF):
        raise ValueError("a header line doesn't end with CRLF")
    name, colon, value = line[: -len(CRLF)].partition(b":")
    # A folded line starts with a space, which no name contains. Underscores are left
    # out too: WSGI can't tell them from dashes, so X_Fencing would pass for X-Fencing.
    if not colon or _NAME.fullmatch(name) is None:
        raise ValueError("a header line has no plain name")
    value = value.strip(b" \t")
    if _VALUE.fullmatch(value) is None:
        raise ValueError("a header value holds a control character")
    return name.title(), value


def _check_framing(headers: dict[bytes, bytes]) -> None:
    length = headers.get(b"Content-Length")
    encoding = headers.get(b"Transfer-Encoding")
    if length is not None and encoding is not None:
        raise ValueError("got both Content-Length and Transfer-Encoding")
    if length is not None and _LENGTH.fullmatch(length) is None:
        raise ValueError("Content-Length is no whole number")
    if encoding is not None and encoding.lower() != b"chunked":
        raise ValueError("Transfer-Encoding is not chunked")
