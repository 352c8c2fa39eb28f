"""Timeouts, socket options and buffer sizes of TCP connections."""

import fcntl
import socket
import struct
import termios

CONNECT_TIMEOUT_SECONDS = 0.25
"""Timeout for opening a connection: a hundred times the latency within a region."""

KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
USER_TIMEOUT_MILLISECONDS = 2_000

MAX_KERNEL_UNSENT_BYTES = 65_536
"""Unsent bytes that the kernel takes on a connection whose buffers are bounded. Without
this limit it took 3.3 to 3.9 MB for a caller on loopback that read nothing. They may
count against the memory limit of the host, and hide the progress of a slow reader."""


def set_socket_options(sock: socket.socket) -> None:
    """Set the TCP options of a connection.

    A network device on the path may drop its state of an open connection. Packets are
    then lost without a reset, and a request would wait for its full timeout. TCP
    keepalive detects this on an idle connection, and the TCP user timeout while data is
    unacknowledged. Both take two to three seconds.
    """
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    set_user_timeout(sock, USER_TIMEOUT_MILLISECONDS)


def set_user_timeout(sock: socket.socket, milliseconds: int) -> None:
    """Set how long sent data may stay unacknowledged; 0 for no limit of its own."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return the bytes that the kernel has taken and the peer hasn't acknowledged."""
    if sock.fileno() < 0:
        return 0
    (n_bytes,) = struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))
    return n_bytes


def limit_kernel_unsent_bytes(sock: socket.socket) -> None:
    """Limit the unsent bytes that the kernel takes on a connection."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NOTSENT_LOWAT, MAX_KERNEL_UNSENT_BYTES)


def discard_unsent_on_close(sock: socket.socket) -> None:
    """Reset the connection when it is closed, and discard what the kernel holds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
