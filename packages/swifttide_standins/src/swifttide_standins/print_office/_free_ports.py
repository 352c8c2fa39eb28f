"""Free ports on loopback."""

import socket


def free_ports(count: int) -> list[int]:
    """Return ports that the operating system names as free."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
