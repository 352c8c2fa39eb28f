"""HTTP response object that the handlers return."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from swifttide_core.verdicts import Refusal, Verdict

JSON = "application/json"
PROBLEM = "application/problem+json"
VERDICT_HEADER = "Swifttide-Verdict"


@dataclass(frozen=True, slots=True)
class Response:
    """One HTTP response.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes or iterator of bytes
        Bytes are sent with their length; an iterator is streamed, each item as it
        is yielded.
    headers : tuple of (str, str)
        Names and values of all headers but ``Content-Length``.
    """

    status: int
    body: bytes | Iterator[bytes] = b""
    headers: tuple[tuple[str, str], ...] = ()

    @classmethod
    def from_json(
        cls, value: Any, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
    ) -> "Response":
        """Return a response with a JSON body."""
        body = msgspec.json.encode(value)
        return cls(status, body, (("Content-Type", JSON), *headers))

    @classmethod
    def from_refusal(cls, refusal: Refusal, **members: Any) -> "Response":
        """Return a problem response with the verdict and the time to retry after.

        Parameters
        ----------
        refusal : Refusal
            Why the request was refused, and whether it may have run.
        **members
            Further members of the ``application/problem+json`` body.
        """
        problem = {
            "title": refusal.reason.value.replace("_", " "),
            "status": refusal.status,
            "reason": refusal.reason,
            "detail": refusal.detail,
            "verdict": refusal.verdict,
            "retry_after_seconds": refusal.retry_after_seconds,
            **members,
        }
        headers = [("Content-Type", PROBLEM), (VERDICT_HEADER, refusal.verdict.value)]
        if refusal.retry_after_seconds is not None:
            headers.append(("Retry-After", _whole_seconds(refusal)))
        return cls(refusal.status, msgspec.json.encode(problem), tuple(headers))

    @classmethod
    def ran(
        cls, status: int, body: bytes, headers: tuple[tuple[str, str], ...] = ()
    ) -> "Response":
        """Return the response of a target that ran the request."""
        return cls(status, body, ((VERDICT_HEADER, Verdict.RAN.value), *headers))


def _whole_seconds(refusal: Refusal) -> str:
    """Return the retry delay in whole seconds, at least 1.

    The delay is rounded up: a client that retries too early is refused again.
    """
    seconds = refusal.retry_after_seconds or 0.0
    return str(max(1, -int(-seconds // 1)))
