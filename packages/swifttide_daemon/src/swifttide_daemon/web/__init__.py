"""HTTP server side of the daemon: requests, responses, routes and servers."""

from swifttide_daemon.web._app import App, Route
from swifttide_daemon.web._request import Request
from swifttide_daemon.web._response import JSON, PROBLEM, VERDICT_HEADER, Response
from swifttide_daemon.web._server import WebServer

__all__ = [
    "JSON",
    "PROBLEM",
    "VERDICT_HEADER",
    "App",
    "Request",
    "Response",
    "Route",
    "WebServer",
]
