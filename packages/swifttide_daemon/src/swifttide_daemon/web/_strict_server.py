"""cheroot server that limits open connections and keeps idle ones off the threads."""

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
    """Server that hands a connection to a thread only once it has data to read.

    cheroot hands every new connection to a thread at once, which then waits for
    the first byte. Load balancers and browsers open connections before they need
    them: as many idle connections as there are threads would block the host for
    the idle timeout.

    Attributes
    ----------
    max_connections : int
        Limit of open connections; further ones are answered with status 503 and
        the verdict ``not_run``, and closed.
    n_connections : int
        Number of open connections.
    """

    ConnectionClass = StrictConnection

    def __init__(self, *args: Any, max_connections: int, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.max_connections = max_connections
        self.n_connections = 0
        self._count_lock = threading.Lock()

    def count_connection(self, change: int) -> None:
        """Add `change` to the number of open connections: +1 opened, -1 closed."""
        with self._count_lock:
            self.n_connections += change

    def process_conn(self, conn: StrictConnection) -> None:
        """Pass on a connection that cheroot accepted or found readable.

        A new connection is refused over the limit, else it is watched until its
        first byte arrives. A used one goes to a thread.
        """
        if conn.last_used is not None:
            super().process_conn(conn)
            return
        if self.n_connections > self.max_connections:
            _refuse(conn)
            return
        self._connections.put(conn)


def _refuse(conn: StrictConnection) -> None:
    """Send the 503 response and close the connection.

    The send never blocks: the response fits into the buffer of a new socket.
    """
    try:
        conn.socket.settimeout(0)
        conn.socket.send(_TOO_MANY_CONNECTIONS_RESPONSE)
    except OSError:
        pass
    finally:
        conn.close()
