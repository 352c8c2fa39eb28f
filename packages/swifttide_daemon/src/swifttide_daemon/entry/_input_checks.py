"""Checks of a request that are independent of its profile.

They refuse ambiguous service paths and requests that contain their own key outside the
``Authorization`` header.
"""

import re

from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.web import Request

_PATH_SEGMENT = re.compile(
    r"[A-Za-z0-9_~:@!$&'()*+,;=-][A-Za-z0-9._~:@!$&'()*+,;=-]*\Z"
)
MIN_KEY_LENGTH_CHARS = 16
"""Shorter keys are not searched for in requests. Keys created by
``swifttide key grant`` have 46 characters, but a manually created key of a few
characters would be found in many unrelated texts."""

_BEARER = "Bearer "


def check_service_path(req: Request, service: str, path: str) -> Refusal | None:
    """Refuse a path that a target may interpret differently from the profile.

    The profile lists the calls that must run at most once by prefixes of their paths.
    Targets and HTTP libraries resolve ``x/../charge``, ``.//charge`` and
    ``x%2F..%2Fcharge`` to ``charge``. Such a path matches no prefix, so the call would
    be treated as repeatable and a customer could be charged twice.

    Parameters
    ----------
    req : Request
        Its query must be empty. The query is not forwarded, so the service would
        answer a different request from the one that was made.
    service : str
        Name of the service.
    path : str
        Path below the service, percent-decoded.
    """
    segments = [service, *path.split("/")]
    if not all(_PATH_SEGMENT.match(segment) for segment in segments):
        return Refusal(
            Reason.BAD_REQUEST,
            "got a path with an empty, dotted or percent-encoded segment, expected "
            "segments that start with a letter, digit or symbol other than a dot",
        )
    if req.query:
        return Refusal(
            Reason.BAD_REQUEST,
            "got a query string, expected none; send parameters in the body",
        )
    return None


def check_key_not_repeated(req: Request) -> Refusal | None:
    """Refuse a request that contains its key outside the ``Authorization`` header.

    The body is sent to a target and stored in the program's history, and ids are
    written to rows, logs and traces. A client that inserts its key into a prompt by a
    template would disclose it to all of them.
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
            "the request contains its key outside the Authorization header, where "
            "it would be disclosed to targets or logs",
        )
    return None
