"""Gateway that lets a handler shut its connection."""

import contextlib
import socket

from cheroot import wsgi


class ClosingGateway(wsgi.Gateway_10):
    """WSGI gateway whose environment can close the connection unanswered.

    Faults such as an answer lost after the write need it: WSGI itself offers no
    way to leave a request without an answer.
    """

    version = (1, 0, "closing")

    def get_environ(self) -> dict:
        """Return the environment with ``standins.close`` added."""
        environ = super().get_environ()
        environ["wsgi.version"] = (1, 0)
        environ["standins.close"] = self._close
        return environ

    def _close(self) -> None:
        self.req.close_connection = True
        with contextlib.suppress(OSError):
            self.req.conn.socket.shutdown(socket.SHUT_RDWR)
