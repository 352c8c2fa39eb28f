"""Options of connections."""

import socket

CONNECT_TIMEOUT_SECONDS = 0.25
"""Time for a new connection: a hundred times the way within a region."""

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MILLISECONDS = 2_000


def set_socket_options(sock: socket.socket) -> None:
    """Set the options of a connection between hosts, to targets or to the store.

    Something between the two ends may forget an open connection: packets then vanish
    without a reset, and a request on it would wait for its whole timeout. Keepalive
    finds such a connection while idle, the user timeout while data is
    unacknowledged; both within two to three seconds.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
