"""Connections that are kept for the next request."""

import asyncio

from swifttide_daemon.gateway.targets._http_client import ClientConnection

DEFAULT_IDLE_SECONDS = 4.0
"""How long a connection is kept whose other end names no timeout of its own."""

IDLE_MARGIN_SECONDS = 1.0
"""A connection isn't used in the last second of the other end's timeout: a request
that crosses the close may have run or not, and nobody can tell."""

MAX_IDLE_CONNECTIONS = 32
"""Idle connections kept to one address."""


class ConnectionPool:
    """Idle connections by address."""

    def __init__(self):
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {}

    async def take(
        self, ip: str, port: int, fresh: bool = False
    ) -> tuple[ClientConnection, bool]:
        """Return a connection, and whether it had been used before.

        Parameters
        ----------
        ip : str
        port : int
        fresh : bool
            Whether to open a new one in any case.
        """
        now = asyncio.get_running_loop().time()
        kept = self._idle.get((ip, port), [])
        while kept and not fresh:
            conn = kept.pop()
            if conn.reusable and now < conn.idle_until:
                return conn, True
            conn.close()
        return await ClientConnection.open(ip, port), False

    def give_back(
        self, ip: str, port: int, conn: ClientConnection, idle_seconds: float | None
    ) -> None:
        """Keep a connection whose answer has been read, if it can be kept."""
        conn.finish()
        keep = DEFAULT_IDLE_SECONDS
        if idle_seconds is not None:
            keep = idle_seconds - IDLE_MARGIN_SECONDS
        kept = self._idle.setdefault((ip, port), [])
        if not conn.reusable or keep <= 0.0 or len(kept) >= MAX_IDLE_CONNECTIONS:
            conn.close()
            return
        conn.idle_until = asyncio.get_running_loop().time() + keep
        kept.append(conn)

    def has_idle(self, ip: str, port: int) -> bool:
        """Whether a connection to an address could be used again."""
        now = asyncio.get_running_loop().time()
        kept = self._idle.get((ip, port), ())
        return any(conn.reusable and now < conn.idle_until for conn in kept)

    def forget(self, ip: str, port: int) -> None:
        """Close all idle connections to an address."""
        for conn in self._idle.pop((ip, port), []):
            conn.close()

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now = asyncio.get_running_loop().time()
        for address, kept in list(self._idle.items()):
            alive = [c for c in kept if c.reusable and now < c.idle_until]
            for conn in kept:
                if conn not in alive:
                    conn.close()
            if alive:
                self._idle[address] = alive
            else:
                del self._idle[address]
