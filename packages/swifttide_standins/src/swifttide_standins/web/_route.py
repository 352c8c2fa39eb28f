"""A method and path pattern with its handler."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from urllib.parse import unquote

from swifttide_standins.web._request import Request
from swifttide_standins.web._response import Response


@dataclass(frozen=True, slots=True)
class Route:
    """One entry of an `App`.

    Parameters
    ----------
    method : str
        HTTP method.
    pattern : str
        Path such as ``/v1/rows/{table}/{key}``; a last part ``{rest*}`` takes
        all that remains.
    handler : callable
        From `Request` to `Response`.
    """

    method: str
    pattern: str
    handler: Callable[[Request], Response]

    def match(self, path: str) -> dict[str, str] | None:
        """Return the pattern's named parts, or None when it doesn't match."""
        wanted = self.pattern.split("/")
        got = path.split("/")
        if wanted[-1].endswith("*}"):
            split = len(wanted) - 1
            got = [*got[:split], "/".join(got[split:])]
        if len(wanted) != len(got):
            return None
        return _match_parts(wanted, got)


def _match_parts(wanted: Sequence[str], got: Sequence[str]) -> dict[str, str] | None:
    params = {}
    for pattern, part in zip(wanted, got, strict=True):
        if pattern.startswith("{"):
            if not part:
                return None
            params[pattern.strip("{*}")] = unquote(part)
        elif pattern != part:
            return None
    return params
