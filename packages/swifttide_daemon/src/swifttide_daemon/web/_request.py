"""A request as a handler sees it."""

from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request, read whole.

    Parameters
    ----------
    method : str
        Verb in capitals.
    path : str
        Path, percent-decoded but for ``%2F``.
    query : str
        Raw query string.
    headers : dict of str to str
        Names in lower case.
    body : bytes
        The whole body.
    arrived_at : float
        Monotonic seconds.
    """

    method: str
    path: str
    query: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    arrived_at: float = 0.0

    @classmethod
    def from_environ(
        cls, environ: dict[str, Any], body: bytes, now: float
    ) -> "Request":
        """Build a request from a WSGI environment."""
        headers = {
            name[len("HTTP_") :].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        }
        if "CONTENT_TYPE" in environ:
            headers["content-type"] = environ["CONTENT_TYPE"]
        return cls(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=environ.get("QUERY_STRING", ""),
            headers=headers,
            body=body,
            arrived_at=now,
        )

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return self.headers.get(name, "")

    def param(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter."""
        return parse_qs(self.query).get(name, [default])[0]
