"""How header fields are spelled between callers, hosts and targets."""

from typing import Protocol

from swifttide_daemon.gateway.callers._caller_request import CallerRequest
from swifttide_daemon.gateway.callers._http_fields import Fields
from swifttide_daemon.gateway.targets._target_answer import AnswerHead


class BadRequest(Exception):
    """A caller's request can't be understood.

    Parameters
    ----------
    detail : str
        What is wrong, without the value.
    """

    def __init__(self, detail: str):
        super().__init__(detail)
        self.detail = detail


class Dialect(Protocol):
    """Translates between the wire and the gateway's types."""

    def read_request(
        self, method: str, target: bytes, fields: Fields, body: bytes, now: float
    ) -> CallerRequest:
        """Decode a caller's request; raises `BadRequest`."""

    def read_answer(self, status: int, fields: Fields) -> AnswerHead:
        """Decode the head of a target's answer."""

    def target_fields(
        self,
        req: CallerRequest,
        customer: str,
        target_id: str,
        seconds_left: float,
        resume_after: int | None,
        body_bytes: int,
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields with which a request goes to a target."""

    def answer_fields(self, head: AnswerHead) -> list[tuple[bytes, bytes]]:
        """Return the header fields with which an answer goes to the caller."""

    def refusal_fields(
        self, request_id: str, retry_after: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields of an answer of our own."""
