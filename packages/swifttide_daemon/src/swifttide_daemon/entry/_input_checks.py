"""What a caller may not put into a request, whatever the profile says."""

import re

from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.web import Request

_PATH_SEGMENT = re.compile(
    r"[A-Za-z0-9_~:@!$&'()*+,;=-][A-Za-z0-9._~:@!$&'()*+,;=-]*\Z"
)
MIN_KEY_LENGTH_CHARS = 16
"""Keys of ``swifttide key grant`` have 46 characters. A hand-made key of a few would
be found in many an innocent text."""

_BEARER = "Bearer "


def check_service_path(req: Request, service: str, path: str) -> Refusal | None:
    """Refuse a path that target and profile might read differently.

    What may never repeat is told by prefix. Targets and HTTP libraries resolve
    ``x/../charge``, ``.//charge`` and ``x%2F..%2Fcharge`` to ``charge``: the call would
    go out as one that may be repeated, and a club be charged twice.

    Parameters
    ----------
    req : Request
        Its query must be empty: it isn't passed on, and a service would answer
        another question than was asked.
    service : str
        Name of the service.
    path : str
        Path below it, percent-decoded.
    """
    segments = [service, *path.split("/")]
    if not all(_PATH_SEGMENT.match(segment) for segment in segments):
        return Refusal(
            Reason.BAD_REQUEST,
            "got a path with empty, dotted or encoded segments, expected plain ones "
            "that start with a letter, digit or sign other than a dot",
        )
    if req.query:
        return Refusal(
            Reason.BAD_REQUEST,
            "got a query, expected none: put parameters into the body",
        )
    return None


def check_key_not_repeated(req: Request) -> Refusal | None:
    """Refuse a request that repeats its key outside ``Authorization``.

    The body goes to a target and into the program's history, and ids go into rows,
    logs and traces. A client that templates its key into a prompt would hand it to
    all of them.
    """
    key = req.header("authorization").removeprefix(_BEARER).strip()
    if len(key) < MIN_KEY_LENGTH_CHARS:
        return None
    elsewhere = [v for n, v in req.headers.items() if n != "authorization"]
    texts = [req.path, req.query, *elsewhere]
    found = any(key in text for text in texts)
    if found or key.encode("utf-8", "surrogateescape") in req.body:
        return Refusal(
            Reason.BAD_REQUEST,
            "the request repeats its key outside the Authorization header, where "
            "targets or logs would see it",
        )
    return None
