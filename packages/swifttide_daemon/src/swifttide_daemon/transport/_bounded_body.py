"""Reads the body of an answer within bounds on its size, its pieces and its time."""

import time

import urllib3

from swifttide_core.buffering import PieceBudget

READ_BYTES = 65_536

MIN_PIECE_BYTES = 8
"""Smallest mean size of the pieces of an answer, beyond the first thousand."""


class UnboundedAnswer(urllib3.exceptions.HTTPError):
    """An answer that is too long, in too small pieces, or not complete in time."""


def read_body(
    answer: urllib3.BaseHTTPResponse, deadline: float, max_bytes: int
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
            if time.monotonic() > deadline:
                raise UnboundedAnswer("a body that wasn't complete in time")
    except BaseException:
        answer.close()
        raise
    return bytes(body)
