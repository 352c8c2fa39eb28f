"""The WSGI application: finds the route and answers every error as a problem."""

import logging
from collections.abc import Iterable, Sequence
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit

from swifttide_standins.web._bad_input import BadInput
from swifttide_standins.web._request import Request
from swifttide_standins.web._response import Response
from swifttide_standins.web._route import Route

logger = logging.getLogger(__name__)


class App:
    """WSGI application over a fixed list of routes.

    Parameters
    ----------
    routes : sequence of Route
        Tried in this order.
    """

    def __init__(self, routes: Sequence[Route]) -> None:
        self.routes = tuple(routes)

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Answer one request."""
        response = self._answer(environ)
        status = f"{response.status} {HTTPStatus(response.status).phrase}"
        headers = [("Content-Type", response.content_type), *response.headers]
        if response.stream is None or response.length is not None:
            length = response.length
            length = len(response.body) if length is None else length
            headers.append(("Content-Length", str(length)))
        start_response(status, headers)
        return response.chunks()

    def _answer(self, environ: dict) -> Response:
        try:
            return self._route(environ)
        except BadInput as exc:
            return Response.from_problem(exc.status, exc.detail)
        except Exception:
            logger.exception("handler failed")
            return Response.from_problem(500, "the stand-in failed; see its log")

    def _route(self, environ: dict) -> Response:
        url = urlsplit(environ["REQUEST_URI"])
        method = environ["REQUEST_METHOD"]
        other_methods = False
        for route in self.routes:
            params = route.match(url.path)
            if params is None:
                continue
            if route.method == method:
                return route.handler(_request(environ, url.path, url.query, params))
            other_methods = True
        if other_methods:
            raise BadInput(f"{url.path}: {method} isn't served here", 405)
        raise BadInput(f"{url.path}: no such path", 404)


def _request(environ: dict, path: str, query: str, params: dict) -> Request:
    return Request(
        method=environ["REQUEST_METHOD"],
        path=path,
        params=params,
        query=dict(parse_qsl(query, keep_blank_values=True)),
        headers=_headers(environ),
        body=_read_body(environ),
        conn_id=f"{environ['REMOTE_ADDR']}:{environ['REMOTE_PORT']}",
        close=environ["standins.close"],
    )


def _headers(environ: dict) -> dict[str, str]:
    return {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }


def _read_body(environ: dict) -> bytes:
    if environ.get("wsgi.input_terminated"):
        return environ["wsgi.input"].read()
    length = int(environ.get("CONTENT_LENGTH") or 0)
    body = environ["wsgi.input"].read(length) if length else b""
    if len(body) != length:
        raise BadInput(f"body: got {len(body)} bytes, expected {length}")
    return body
