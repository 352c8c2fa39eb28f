"""An answer as a handler gives it."""

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
    """One HTTP answer.

    Parameters
    ----------
    status : int
        Status code.
    body : bytes or iterator of bytes
        An iterator is sent chunk by chunk as it yields.
    headers : tuple of (str, str)
        Besides the content length.
    """

    status: int
    body: bytes | Iterator[bytes] = b""
    headers: tuple[tuple[str, str], ...] = ()

    @classmethod
    def from_json(
        cls, value: Any, status: int = 200, headers: tuple[tuple[str, str], ...] = ()
    ) -> "Response":
        """Return an answer with a JSON body."""
        body = msgspec.json.encode(value)
        return cls(status, body, (("Content-Type", JSON), *headers))

    @classmethod
    def from_refusal(cls, refusal: Refusal, **members: Any) -> "Response":
        """Return a problem body with verdict and when to come back.

        Parameters
        ----------
        refusal : Refusal
            What went wrong.
        **members
            Further members of the problem body.
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
        """Return the answer of a target that ran the request."""
        return cls(status, body, ((VERDICT_HEADER, Verdict.RAN.value), *headers))


def _whole_seconds(refusal: Refusal) -> str:
    """Round up: a client that came back too early would be refused again."""
    seconds = refusal.retry_after_seconds or 0.0
    return str(max(1, -int(-seconds // 1)))
