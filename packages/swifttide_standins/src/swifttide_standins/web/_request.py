"""One request, taken apart."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Request:
    """What a handler gets.

    Parameters
    ----------
    method, path : str
        Request line; the path still has its percent escapes.
    params : mapping of str to str
        Unquoted parts that the route's pattern names.
    query : mapping of str to str
        Last value of each query parameter.
    headers : mapping of str to str
        By lower-case name.
    body : bytes
        Whole body.
    conn_id : str
        Names the connection: address and port of its other end.
    close : callable
        Shuts the connection at once, without an answer.
    """

    method: str
    path: str
    params: Mapping[str, str]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    conn_id: str
    close: Callable[[], None]

    def header(self, name: str) -> str:
        """Return a header's value, or the empty string."""
        return self.headers.get(name.lower(), "")

    @property
    def n_bytes(self) -> int:
        """Size on the connection, but for the query and the framing of a body."""
        headers = sum(len(n) + len(v) + 4 for n, v in self.headers.items())
        return len(self.method) + len(self.path) + headers + len(self.body) + 14
