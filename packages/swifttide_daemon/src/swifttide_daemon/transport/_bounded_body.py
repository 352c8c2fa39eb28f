"""Reads the body of an answer within bounds on its size, its pieces and its time."""

import math
import time

import urllib3

from swifttide_core.buffering import PieceBudget

READ_BYTES = 65_536

MAX_ANSWER_BYTES = 67_108_864
"""Size of the longest accepted answer of the platform or of another host. The largest
are objects with histories and listings of rows, of some MB."""

MIN_BYTES_PER_SECOND = 65_536.0
"""Rate below which a large answer of the platform or of another host is given up."""

MIN_PIECE_BYTES = 8
"""Smallest mean size of the pieces of an answer, beyond the first thousand."""


class UnboundedAnswer(urllib3.exceptions.HTTPError):
    """An answer that is too long, in too small pieces, or not complete in time."""


def read_body(
    answer: urllib3.BaseHTTPResponse,
    deadline: float,
    max_bytes: int,
    bytes_per_second: float = math.inf,
) -> bytes:
    """Return the whole body of an answer that was requested without its content.

    The time-out of the connection counts from one received byte to the next, so that an
    answer of single bytes would hold its thread for ever.

    Parameters
    ----------
    answer : urllib3.BaseHTTPResponse
        Closed if its body isn't read to its end.
    deadline : float
        Monotonic time in seconds.
    max_bytes : int
        Size of the longest accepted body.
    bytes_per_second : float
        A body that arrives at this rate may take longer than until the deadline.

    Raises
    ------
    UnboundedAnswer
        The body exceeds a bound.
    urllib3.exceptions.HTTPError
        The connection broke.
    """
    body = bytearray()
    pieces = PieceBudget(MIN_PIECE_BYTES)
    try:
        while piece := answer.read1(READ_BYTES):
            body += piece
            if len(body) > max_bytes:
                raise UnboundedAnswer(f"a body of over {max_bytes} bytes")
            if not pieces.take(len(piece)):
                raise UnboundedAnswer("a body in too small pieces")
            if time.monotonic() > deadline + len(body) / bytes_per_second:
                raise UnboundedAnswer("a body that wasn't complete in time")
    except BaseException:
        answer.close()
        raise
    return bytes(body)
