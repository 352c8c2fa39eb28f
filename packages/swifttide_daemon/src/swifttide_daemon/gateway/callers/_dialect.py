"""Interface that translates HTTP header fields from and to the gateway's types."""

from typing import Protocol

from swifttide_daemon.gateway.callers._caller_request import CallerRequest
from swifttide_daemon.gateway.callers._http_fields import Fields
from swifttide_daemon.gateway.targets._target_answer import AnswerHead


class BadRequest(Exception):
    """A caller's request can't be decoded.

    Parameters
    ----------
    detail : str
        What is wrong, without the offending value.
    """

    def __init__(self, detail: str):
        super().__init__(detail)
        self.detail = detail


class Dialect(Protocol):
    """Translates header fields of requests and responses from and to gateway types."""

    def read_request(
        self, method: str, target: bytes, fields: Fields, body: bytes, now: float
    ) -> CallerRequest:
        """Decode a caller's request; raises `BadRequest`."""

    def read_answer(self, status: int, fields: Fields) -> AnswerHead:
        """Decode the head of a target's response."""

    def target_fields(
        self,
        req: CallerRequest,
        customer: str,
        target_id: str,
        seconds_left: float,
        resume_after: int | None,
        body_bytes: int,
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields of a request to a target.

        Parameters
        ----------
        req : CallerRequest
        customer : str
            Name of the customer; empty without one.
        target_id : str
        seconds_left : float
            Time until the request's deadline.
        resume_after : int or None
            Id of the last event that the caller has; None to start from the beginning.
        body_bytes : int
            Length of the body.
        """

    def answer_fields(self, head: AnswerHead) -> list[tuple[bytes, bytes]]:
        """Return the header fields of a target's response as sent to the caller."""

    def refusal_fields(
        self, request_id: str, retry_after: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the header fields of a refusal by the gateway itself."""
