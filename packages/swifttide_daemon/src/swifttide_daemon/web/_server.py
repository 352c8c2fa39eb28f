"""A cheroot server on a port of its own, running on a thread."""

import logging
import sys
import threading

from swifttide_daemon.settings import LimitSettings
from swifttide_daemon.web._app import App
from swifttide_daemon.web._strict_server import StrictServer

log = logging.getLogger(__name__)


class WebServer:
    """One listening port.

    Parameters
    ----------
    server : StrictServer
        Prepared server.
    """

    def __init__(self, server: StrictServer) -> None:
        self.server = server
        self._thread = threading.Thread(target=server.serve, daemon=True)

    @classmethod
    def from_settings(
        cls, address: str, port: int, app: App, threads: int, limits: LimitSettings
    ) -> "WebServer":
        """Bind the port; requests are answered after `start`."""
        server = StrictServer(
            (address, port),
            app,
            numthreads=threads,
            max=threads,
            request_queue_size=128,
            timeout=limits.idle_seconds,
            shutdown_timeout=2,
            server_name="swifttide",
            max_connections=limits.max_connections,
        )
        server.max_request_body_size = app.max_body_bytes
        server.max_request_header_size = limits.max_header_bytes
        server.keep_alive_conn_limit = limits.max_connections
        server.error_log = _log_failure
        server.prepare()
        return cls(server)

    @property
    def port(self) -> int:
        """Port that the operating system gave or the settings asked for."""
        return self.server.bind_addr[1]

    def start(self) -> None:
        """Answer requests from now on."""
        self._thread.start()

    def stop(self) -> None:
        """Close the port; requests under way get two seconds."""
        self.server.stop()


def _log_failure(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Log what ended a connection, without cheroot's text, which quotes raw input.

    An answer's iterator that fails half-way ends here and nowhere else: dropped, a
    fault that cuts streams would leave no trace.
    """
    exc = sys.exc_info()[1]
    if exc is None or isinstance(exc, OSError):
        return
    log.error("connection_failed", exc_info=exc)
