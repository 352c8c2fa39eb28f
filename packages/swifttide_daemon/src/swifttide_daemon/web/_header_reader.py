"""Strict parsing of request headers, against request smuggling.

The platform's load balancer stands between callers and host and shares its
connections among callers. Where balancer and host disagree on the end of a request,
the rest of one caller's body is parsed as the next caller's request and runs with the
key of that caller. cheroot accepts the last of two lengths, a sign or an underscore
in a length, and a space before the colon; all of these are refused here.
"""

import re
from typing import Any

from cheroot.server import CRLF, HeaderReader

MAX_HEADERS = 100
"""Limit of header lines per request.

A caller with tracing and a chain of proxies sends some thirty.
"""

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
"""Headers that may be repeated; their values are joined with commas.

Of any other repeated header, balancer and host might use different values.
"""


class StrictHeaderReader(HeaderReader):
    """Header reader for cheroot that raises ValueError on ambiguous headers."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read headers up to the empty line that ends them.

        Parameters
        ----------
        rfile : file object
            Connection; its ``readline`` enforces the server's limit on header bytes.
        hdict : dict or None
            Dictionary to fill, with names in title case as cheroot looks them up;
            None for a new one.

        Raises
        ------
        ValueError
            If the headers are malformed, ambiguous or too many. The message quotes
            nothing of the input, which may contain a key.
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
                raise ValueError("a header that must not be repeated occurs twice")
        raise ValueError(f"got more than {MAX_HEADERS} headers")


def _parse(line: bytes) -> tuple[bytes, bytes]:
    if not line.endswith(CRLF):
        raise ValueError("a header line doesn't end with CRLF")
    name, colon, value = line[: -len(CRLF)].partition(b":")
    # A folded line starts with a space, which is not allowed in a name. Underscores
    # are refused too: WSGI can't tell them from dashes, so that X_Fencing would be
    # read as X-Fencing.
    if not colon or _NAME.fullmatch(name) is None:
        raise ValueError("a header line has no valid name")
    value = value.strip(b" \t")
    if _VALUE.fullmatch(value) is None:
        raise ValueError("a header value contains a control character")
    return name.title(), value


def _check_framing(headers: dict[bytes, bytes]) -> None:
    length = headers.get(b"Content-Length")
    encoding = headers.get(b"Transfer-Encoding")
    if length is not None and encoding is not None:
        raise ValueError("got both Content-Length and Transfer-Encoding")
    if length is not None and _LENGTH.fullmatch(length) is None:
        raise ValueError("Content-Length is not a whole number")
    if encoding is not None and encoding.lower() != b"chunked":
        raise ValueError("Transfer-Encoding is not chunked")
