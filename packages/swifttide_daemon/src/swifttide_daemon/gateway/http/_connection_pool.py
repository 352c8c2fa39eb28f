"""Keeps idle connections open so that later requests can reuse them.

A connection is kept for the idle timeout that the other end announces, less a margin,
and for a default time if it announces none.
"""

import asyncio

from swifttide_daemon.gateway.http._client_connection import ClientConnection

DEFAULT_IDLE_SECONDS = 4.0
"""Time for which an idle connection is kept if the other end announces no timeout."""

IDLE_MARGIN_SECONDS = 1.0
"""Part of the other end's idle timeout in which a connection is no longer used. If the
other end closes the connection while a request is on its way, this host cannot tell
whether the request has run."""

MAX_IDLE_CONNECTIONS = 32
"""Maximum number of idle connections per address."""


class ConnectionPool:
    """Pool of idle connections by IP address and port."""

    def __init__(self):
        self._idle: dict[tuple[str, int], list[ClientConnection]] = {}

    async def take(
        self, ip: str, port: int, fresh: bool = False
    ) -> tuple[ClientConnection, bool]:
        """Return a connection and whether it is a reused one.

        Parameters
        ----------
        ip : str
        port : int
        fresh : bool
            Whether to open a new connection even if an idle one is available.
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
        """Return a connection to the pool, or close it if it cannot be reused.

        Parameters
        ----------
        ip : str
        port : int
        conn : ClientConnection
            Its last answer has been read to the end.
        idle_seconds : float or None
            Idle timeout that the other end announced, None if it announced none.
        """
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
        """Return whether an idle connection to an address can be reused."""
        now = asyncio.get_running_loop().time()
        kept = self._idle.get((ip, port), ())
        return any(conn.reusable and now < conn.idle_until for conn in kept)

    def forget(self, ip: str, port: int) -> None:
        """Close all idle connections to an address."""
        for conn in self._idle.pop((ip, port), []):
            conn.close()

    def close_expired(self) -> None:
        """Close connections whose idle time has expired."""
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
