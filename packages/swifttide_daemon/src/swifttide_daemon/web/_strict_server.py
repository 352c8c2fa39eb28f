"""A cheroot server with bounds on connections."""

import threading
from typing import Any

from cheroot import wsgi

from swifttide_daemon.web._strict_connection import StrictConnection

_TOO_MANY_CONNECTIONS_BODY = (
    b'{"title": "queue full", "status": 503, "reason": "queue_full", '
    b'"detail": "too many connections at this host", "verdict": "not_run", '
    b'"retry_after_seconds": 1}'
)
_TOO_MANY_CONNECTIONS_RESPONSE = (
    b"HTTP/1.1 503 -\r\nContent-Type: application/problem+json\r\n"
    b"Swifttide-Verdict: not_run\r\nRetry-After: 1\r\nConnection: close\r\n"
    b"Content-Length: %d\r\n\r\n%s"
    % (len(_TOO_MANY_CONNECTIONS_BODY), _TOO_MANY_CONNECTIONS_BODY)
)


class StrictServer(wsgi.Server):
    """Hands a connection to a thread once it has something to say.

    cheroot gives every new connection to a thread at once, which then waits for
    its first byte. Balancers and browsers open connections ahead of use: as many
    silent ones as there are threads would stop the host for the idle time.

    Attributes
    ----------
    max_connections : int
        Connections open at once; the next ones are refused, not run.
    """

    ConnectionClass = StrictConnection

    def __init__(self, *args: Any, max_connections: int, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.max_connections = max_connections
        self.n_connections = 0
        self._count_lock = threading.Lock()

    def count_connection(self, change: int) -> None:
        """Count a connection that was opened or closed."""
        with self._count_lock:
            self.n_connections += change

    def process_conn(self, conn: StrictConnection) -> None:
        """Pass a connection on."""
        if conn.last_used is not None:
            super().process_conn(conn)
            return
        if self.n_connections > self.max_connections:
            _refuse(conn)
            return
        self._connections.put(conn)


def _refuse(conn: StrictConnection) -> None:
    """Answer and close; a new socket's buffer takes so few bytes without waiting."""
    try:
        conn.socket.settimeout(0)
        conn.socket.send(_TOO_MANY_CONNECTIONS_RESPONSE)
    except OSError:
        pass
    finally:
        conn.close()
