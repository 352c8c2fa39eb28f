"""Small WSGI helper that the stand-ins share: routes, JSON, SSE, start-up."""

from swifttide_standins.web._app import App
from swifttide_standins.web._bad_input import BadInput
from swifttide_standins.web._decode import check_int, decode_json
from swifttide_standins.web._request import Request
from swifttide_standins.web._response import Response
from swifttide_standins.web._route import Route
from swifttide_standins.web._serve import Server, running, serve
from swifttide_standins.web._serve_options import ServeOptions

__all__ = [
    "App",
    "BadInput",
    "Request",
    "Response",
    "Route",
    "ServeOptions",
    "Server",
    "check_int",
    "decode_json",
    "running",
    "serve",
]
