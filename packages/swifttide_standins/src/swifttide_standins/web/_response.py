"""The answer to one request."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

USUAL_HEADER_BYTES = 160
"""Status line and the headers that the server adds to every answer."""


@dataclass(frozen=True, slots=True)
class Response:
    """What a handler returns.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Whole body, when there is no `stream`.
    content_type : str
        Value of ``Content-Type``.
    headers : tuple of (str, str)
        Further headers.
    stream : iterator of bytes or None
        Chunks, each flushed as it comes.
    length : int or None
        Announced length; None announces the length of `body`.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    stream: Iterator[bytes] | None = None
    length: int | None = None

    @classmethod
    def from_json(cls, value: object, status: int = 200) -> "Response":
        """Return an answer with `value` as its JSON body."""
        return cls(status=status, body=msgspec.json.encode(value))

    @classmethod
    def from_problem(cls, status: int, detail: str) -> "Response":
        """Return a problem+json answer."""
        body = msgspec.json.encode({"status": status, "detail": detail})
        return cls(status, body, "application/problem+json")

    def chunks(self) -> Iterable[bytes]:
        """Return what goes onto the connection after the headers."""
        return [self.body] if self.stream is None else self.stream

    @property
    def n_bytes(self) -> int:
        """Size on the connection of an answer that isn't streamed, about."""
        headers = sum(len(n) + len(v) + 4 for n, v in self.headers)
        return USUAL_HEADER_BYTES + headers + len(self.body)
