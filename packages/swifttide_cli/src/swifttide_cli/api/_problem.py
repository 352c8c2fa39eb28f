"""Answers of a daemon that are errors, turned into failures."""

import json
from collections.abc import Mapping
from typing import Any

from swifttide_cli.exit_codes import ExitCode
from swifttide_cli.output import Failure

MAY_HAVE_RUN = "may_have_run"
_FIRST_SERVER_ERROR = 500

_CODES = {
    400: ExitCode.INVALID,
    401: ExitCode.DENIED,
    403: ExitCode.DENIED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    413: ExitCode.INVALID,
    422: ExitCode.INVALID,
    429: ExitCode.UNAVAILABLE,
    503: ExitCode.UNAVAILABLE,
    504: ExitCode.UNAVAILABLE,
}

_ADVICE = {
    ExitCode.INVALID: "mend what the daemon names and send it again.",
    ExitCode.DENIED: (
        "check SWIFTTIDE_OPERATOR_KEY or --key-file; another operator sees with "
        "`swifttide key list` whether the key was withdrawn."
    ),
    ExitCode.NOT_FOUND: "check the name; `list` shows those that exist.",
    ExitCode.CONFLICT: "look at both versions, merge, and send with --base VERSION.",
    ExitCode.UNAVAILABLE: "nothing was changed; send it again later.",
    ExitCode.MAY_HAVE_APPLIED: (
        "look with `show` or `history` whether the edit is there before you send it "
        "again."
    ),
    ExitCode.FAILED: "look for the request id in the daemon's log.",
}


def failure_of(
    method: str, status: int, headers: Mapping[str, str], body: bytes
) -> Failure:
    """Turn an answer that is no success into a failure.

    Parameters
    ----------
    method : str
        HTTP method of the call.
    status : int
        HTTP status.
    headers : mapping
        Headers of the answer.
    body : bytes
        problem+json, or anything else.
    """
    problem = _decode(body)
    code = _CODES.get(status, ExitCode.FAILED)
    if _may_have_applied(method, status, problem):
        code = ExitCode.MAY_HAVE_APPLIED
    reason = problem.get("reason", f"status {status}")
    detail = problem.get("detail", "the daemon gave no detail")
    advice = _ADVICE[code]
    if code is ExitCode.UNAVAILABLE and headers.get("Retry-After"):
        advice = f"nothing was changed; again after {headers['Retry-After']} s."
    return Failure(
        code=code,
        message=f"{detail} ({reason})",
        advice=advice,
        details=tuple(str(e) for e in _as_list(problem.get("errors"))),
        data={"problem": problem},
    )


def _may_have_applied(method: str, status: int, problem: dict[str, Any]) -> bool:
    """Say whether an edit may have taken effect.

    A daemon that breaks down, or a balancer in front of it, answers with a bare 500
    after the platform took the edit. Only a verdict says that it did not.
    """
    if "verdict" in problem:
        return problem["verdict"] == MAY_HAVE_RUN
    return method != "GET" and status >= _FIRST_SERVER_ERROR


def _decode(body: bytes) -> dict[str, Any]:
    try:
        problem = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return problem if isinstance(problem, dict) else {}


def _as_list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else []
