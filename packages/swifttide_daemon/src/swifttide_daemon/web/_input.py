"""Reading bodies, with limits and without trust."""

from typing import Any

from expression import Error, Ok, Result

from swifttide_core.verdicts import Reason, Refusal

SMALL_BODY_BYTES = 64 * 1024
"""Read whoever sends it: 64 threads of them are 4 MB."""


def has_small_body(environ: dict[str, Any]) -> bool:
    """Return whether a request declares a body of `SMALL_BODY_BYTES` at most."""
    declared = environ.get("CONTENT_LENGTH", "")
    if not declared:
        return not environ.get("wsgi.input_terminated")
    return declared.isdigit() and int(declared) <= SMALL_BODY_BYTES


def read_body(environ: dict[str, Any], max_bytes: int) -> Result[bytes, Refusal]:
    """Read the whole body of a request.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    max_bytes : int
        Longest body that is accepted.

    Returns
    -------
    Result
        The body, or why it was refused; the request was not run.
    """
    stream = environ["wsgi.input"]
    declared = environ.get("CONTENT_LENGTH", "")
    if declared and not declared.isdigit():
        return Error(
            Refusal(Reason.BAD_REQUEST, "got a Content-Length that is no whole number")
        )
    if declared and int(declared) > max_bytes:
        return Error(_too_large(max_bytes))
    if not declared and not environ.get("wsgi.input_terminated"):
        return Ok(b"")
    wanted = int(declared) if declared else max_bytes + 1
    try:
        body = stream.read(wanted)
    except Exception as exc:
        # cheroot raises its own types for a cut or malformed body and OSError for
        # a silent sender; whatever it was, no byte has reached a target.
        return Error(
            Refusal(Reason.BAD_REQUEST, f"the body broke off ({type(exc).__name__})")
        )
    if declared and len(body) < wanted:
        return Error(
            Refusal(
                Reason.BAD_REQUEST,
                f"got {len(body)} bytes of body, expected {wanted}",
            )
        )
    if len(body) > max_bytes:
        return Error(_too_large(max_bytes))
    return Ok(body)


def _too_large(max_bytes: int) -> Refusal:
    return Refusal(
        Reason.TOO_LARGE, f"the body is too large, expected at most {max_bytes} bytes"
    )
