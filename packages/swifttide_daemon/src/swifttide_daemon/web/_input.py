"""Reading of request bodies that may be malformed, truncated or too long."""

from typing import Any

from expression import Error, Ok, Result

from swifttide_core.verdicts import Reason, Refusal

SMALL_BODY_BYTES = 64 * 1024
"""Longest body that is read before the caller is authenticated.

Bodies of this length on 64 threads at once take 4 MB of memory.
"""


def has_small_body(environ: dict[str, Any]) -> bool:
    """Return whether the body is known to be at most `SMALL_BODY_BYTES` long.

    A chunked body has no declared length and counts as large.
    """
    declared = environ.get("CONTENT_LENGTH", "")
    if not declared:
        return not environ.get("wsgi.input_terminated")
    return declared.isdigit() and int(declared) <= SMALL_BODY_BYTES


def read_body(environ: dict[str, Any], max_bytes: int) -> Result[bytes, Refusal]:
    """Read the complete body of a request.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    max_bytes : int
        Length of the longest body that is accepted.

    Returns
    -------
    Result
        The body, or the refusal of a malformed, truncated or too long body. A
        refused request has not been run.
    """
    stream = environ["wsgi.input"]
    declared = environ.get("CONTENT_LENGTH", "")
    if declared and not declared.isdigit():
        return Error(
            Refusal(Reason.BAD_REQUEST, "Content-Length is not a whole number")
        )
    if declared and int(declared) > max_bytes:
        return Error(_too_large(max_bytes))
    if not declared and not environ.get("wsgi.input_terminated"):
        return Ok(b"")
    wanted = int(declared) if declared else max_bytes + 1
    try:
        body = stream.read(wanted)
    except Exception as exc:
        # cheroot raises its own exception types for a truncated or malformed body,
        # and OSError for a sender that stalls. In all cases no byte has been sent
        # to a target.
        return Error(
            Refusal(
                Reason.BAD_REQUEST, f"reading the body failed ({type(exc).__name__})"
            )
        )
    if declared and len(body) < wanted:
        return Error(
            Refusal(
                Reason.BAD_REQUEST,
                f"body truncated: got {len(body)} bytes, expected {wanted}",
            )
        )
    if len(body) > max_bytes:
        return Error(_too_large(max_bytes))
    return Ok(body)


def _too_large(max_bytes: int) -> Refusal:
    return Refusal(
        Reason.TOO_LARGE,
        f"the body is too large: at most {max_bytes} bytes are accepted",
    )
