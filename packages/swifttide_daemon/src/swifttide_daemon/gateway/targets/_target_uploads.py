"""Bounds the request bodies that a target hasn't read yet.

A host writes whole bodies without waiting, since a target may answer early and stop
reading. A target that reads slowly would otherwise fill the memory of the host.
"""

import asyncio

from swifttide_core.buffering import MemoryBudget
from swifttide_daemon.gateway.http._client_connection import ClientConnection
from swifttide_daemon.gateway.http._sockets import limit_kernel_unsent_bytes
from swifttide_daemon.gateway.targets._target_answer import NotRun, TargetFailure

UPLOAD_WAIT_FRACTION = 0.1
"""Fraction of the time left to a request that it waits for a target to read others. A
request tries up to five targets, so four tenths of its time at most."""

UPLOAD_POLL_SECONDS = 0.02
"""Interval of checks while a request waits. 64 KB take 35 ms on a link of 15 Mbit/s."""


class TargetUploads:
    """Unsent bytes of request bodies by target.

    Parameters
    ----------
    budget : MemoryBudget or None
        None if the memory of the host isn't limited; no request waits then.
    """

    def __init__(self, budget: MemoryBudget | None = None):
        self._budget = budget
        self._connections: dict[str, set[ClientConnection]] = {}

    def record_sent(self, target_id: str, conn: ClientConnection) -> None:
        """Observe a connection until a target has read the request written to it."""
        if self._budget is not None and _unsent_bytes(conn):
            self._connections.setdefault(target_id, set()).add(conn)
            self.refresh()

    def prepare(self, conn: ClientConnection) -> None:
        """Limit the bytes in the kernel before a request is written."""
        sock = conn.writer.get_extra_info("socket")
        if self._budget is not None and sock is not None:
            limit_kernel_unsent_bytes(sock)

    def has_room(self, target_id: str, n_bytes: int) -> bool:
        """Return whether a body may be sent to a target now.

        A body of any size may be sent to a target that has read all others.
        """
        if self._budget is None:
            return True
        unsent = self._unsent_at(target_id)
        return not unsent or unsent + n_bytes <= self._budget.max_unsent_bytes

    def give_up_at(self, expires_at: float) -> float:
        """Return until when a request may wait for room, as a time of the event loop.

        Parameters
        ----------
        expires_at : float
            Deadline of the request as a time of the event loop in seconds.
        """
        now = asyncio.get_running_loop().time()
        return now + (expires_at - now) * UPLOAD_WAIT_FRACTION

    async def wait_for_room(
        self, target_id: str, n_bytes: int, give_up_at: float
    ) -> None:
        """Wait until a body may be sent to a target.

        Parameters
        ----------
        target_id : str
        n_bytes : int
            Size of the body.
        give_up_at : float
            End of the wait as a time of the event loop in seconds.

        Raises
        ------
        TargetFailure
            There was no room in time; the request has not run.
        """
        loop = asyncio.get_running_loop()
        while not self.has_room(target_id, n_bytes):
            if loop.time() >= give_up_at:
                raise TargetFailure(NotRun("target reads too slowly"))
            await asyncio.sleep(UPLOAD_POLL_SECONDS)

    def refresh(self) -> None:
        """Tell the budget how many bytes targets haven't read yet."""
        if self._budget is not None:
            targets = list(self._connections)
            self._budget.set_upload_bytes(sum(self._unsent_at(t) for t in targets))

    def _unsent_at(self, target_id):
        connections = self._connections.get(target_id, set())
        unsent = {conn: _unsent_bytes(conn) for conn in connections}
        busy = {conn for conn, n_bytes in unsent.items() if n_bytes}
        if busy:
            self._connections[target_id] = busy
        else:
            self._connections.pop(target_id, None)
        return sum(unsent.values())


def _unsent_bytes(conn):
    transport = conn.writer.transport
    return 0 if transport.is_closing() else transport.get_write_buffer_size()
