"""HTTP request object that is passed to the handlers."""

from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs


@dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request whose body has been read completely.

    Parameters
    ----------
    method : str
        HTTP method in upper case.
    path : str
        Percent-decoded path; ``%2F`` is left encoded.
    query : str
        Query string, still percent-encoded.
    headers : dict of str to str
        Header values by header name in lower case.
    body : bytes
        Complete body; empty before the body has been read.
    arrived_at : float
        Arrival time in seconds of the monotonic clock.
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
        """Return the value of a header, or an empty string if it is missing.

        The name is given in lower case.
        """
        return self.headers.get(name, "")

    def param(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter, or `default`."""
        return parse_qs(self.query).get(name, [default])[0]
