"""HTTP server that listens on one port and runs on a thread of its own."""

import logging
import sys
import threading

from swifttide_daemon.settings import LimitSettings
from swifttide_daemon.web._app import App
from swifttide_daemon.web._strict_server import StrictServer

log = logging.getLogger(__name__)


class WebServer:
    """HTTP server on one port.

    Parameters
    ----------
    server : StrictServer
        Server whose port is already bound.
    """

    def __init__(self, server: StrictServer) -> None:
        self.server = server
        self._thread = threading.Thread(target=server.serve, daemon=True)

    @classmethod
    def from_settings(
        cls, address: str, port: int, app: App, threads: int, limits: LimitSettings
    ) -> "WebServer":
        """Bind the port; requests are answered only after `start`.

        Port 0 lets the operating system choose one.
        """
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
        """Bound port, also where the operating system has chosen it."""
        return self.server.bind_addr[1]

    def start(self) -> None:
        """Start the thread that answers requests."""
        self._thread.start()

    def stop(self) -> None:
        """Close the port; requests in progress get two seconds to finish."""
        self.server.stop()


def _log_failure(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    """Log the exception that ended a connection, unless it is an OSError.

    The text of cheroot is left out, as it quotes raw input. An exception in the
    iterator of a streamed response is reported only here: without this log record,
    a fault that truncates responses would leave no trace.
    """
    exc = sys.exc_info()[1]
    if exc is None or isinstance(exc, OSError):
        return
    log.error("connection_failed", exc_info=exc)
