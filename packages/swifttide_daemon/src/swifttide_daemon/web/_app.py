"""WSGI application that routes requests to handlers.

The first route that matches path and method answers a request. Authentication may
refuse a request with a long body before that body is read.
"""

import logging
import re
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.web._input import has_small_body, read_body
from swifttide_daemon.web._request import Request
from swifttide_daemon.web._response import Response

log = logging.getLogger(__name__)

Handler = Callable[..., Response]


@dataclass(frozen=True, slots=True)
class Route:
    """A handler with the method and the paths that it answers.

    Parameters
    ----------
    method : str
        HTTP method in upper case.
    pattern : str
        Path with ``{name}`` for one segment and ``{name*}`` for the rest of the
        path; both are passed to the handler as keyword arguments.
    handler : callable
        Takes a Request and the matched segments, returns a Response.
    """

    method: str
    pattern: str
    handler: Handler

    def compiled(self) -> re.Pattern[str]:
        """Return the pattern as a regular expression."""
        rest = re.sub(r"\{(\w+)\*\}", r"(?P<\1>.+)", self.pattern)
        return re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>[^/]+)", rest) + r"\Z")


class App:
    """WSGI application with a list of routes.

    Parameters
    ----------
    routes : iterable of Route
        Routes; the first one that matches is used.
    max_body_bytes : int
        Length of the longest body that is accepted.
    guard : callable or None
        Called with each request before its handler; a refusal that it returns is
        sent instead of running the handler.
    before_body : callable or None
        Called with each request whose body is longer than `SMALL_BODY_BYTES` or of
        unknown length, before the body is read. A refusal that it returns is sent
        and the connection is closed with the body unread.
    """

    def __init__(
        self,
        routes: Iterable[Route],
        max_body_bytes: int,
        guard: Callable[[Request], Refusal | None] | None = None,
        before_body: Callable[[Request], Refusal | None] | None = None,
    ) -> None:
        self.before_body = before_body
        self.routes = [(route, route.compiled()) for route in routes]
        self.max_body_bytes = max_body_bytes
        self.guard = guard

    def __call__(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Answer one request."""
        response = self._answer(environ)
        headers = list(response.headers)
        if isinstance(response.body, bytes):
            headers.append(("Content-Length", str(len(response.body))))
        start_response(f"{response.status} -", headers)
        if isinstance(response.body, bytes):
            return [response.body]
        return response.body

    def _answer(self, environ: dict[str, Any]) -> Response:
        now = time.monotonic()
        refusal = self._check_before_body(environ, now)
        if refusal is not None:
            # The unread body must not be parsed as the next request.
            closed = (("Connection", "close"),)
            response = Response.from_refusal(refusal)
            return replace(response, headers=(*response.headers, *closed))
        body = read_body(environ, self.max_body_bytes)
        if body.is_error():
            return Response.from_refusal(body.error)
        req = Request.from_environ(environ, body.ok, now)
        try:
            return self._dispatch(req)
        except Exception:
            # An exception in a handler must not end the process or leave the caller
            # without a response. What the handler did before is unknown here, hence
            # the verdict.
            log.exception("handler failed", extra={"path": req.path})
            return Response.from_refusal(
                Refusal(
                    Reason.INTERNAL,
                    "internal error; see the log of the daemon",
                    verdict=Verdict.MAY_HAVE_RUN,
                )
            )

    def _check_before_body(self, environ: dict[str, Any], now: float) -> Refusal | None:
        """Let `before_body` refuse a request with a long body before it is read.

        Unauthenticated callers could otherwise send bodies of the permitted length on
        all threads at once: half a gigabyte, while the daemon should use 64 MB.
        """
        if self.before_body is None or has_small_body(environ):
            return None
        return self.before_body(Request.from_environ(environ, b"", now))

    def _dispatch(self, req: Request) -> Response:
        known_path = False
        for route, pattern in self.routes:
            match = pattern.match(req.path)
            if match is None:
                continue
            known_path = True
            if route.method != req.method:
                continue
            refusal = self.guard(req) if self.guard else None
            if refusal is not None:
                return Response.from_refusal(refusal)
            return route.handler(req, **match.groupdict())
        if known_path:
            return Response.from_refusal(
                Refusal(
                    Reason.BAD_REQUEST,
                    f"method {req.method} is not supported for this path",
                )
            )
        return Response.from_refusal(Refusal(Reason.NOT_FOUND, "no such path"))
