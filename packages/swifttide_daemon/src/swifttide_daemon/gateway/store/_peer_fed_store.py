"""Follows tables of the store through another host, to reduce the load on the store.

Hundreds of hosts follow tables in which some row is renewed all the time. If each of
them polled the store for the same changes, the store would get about two hundred times
the calls of a single host, and each call costs processor time.

In a large fleet, only a few hosts of each zone, the feeders, poll the store. The other
hosts poll a feeder, which delays changes by a few milliseconds. Each answer states its
age, so that hosts that poll each other do not mistake the lack of changes for current
data. A host that gets no answer, or an outdated one, polls the store itself.
"""

import asyncio

from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer_client import PeerClient
from swifttide_daemon.gateway.peers._peer_messages import FollowTable, StoreOutcome
from swifttide_daemon.gateway.store._relayed_store import RelayedStore
from swifttide_daemon.gateway.store._shared_store import (
    HistoryLost,
    Rows,
    Unavailable,
)

ANSWER_MARGIN_SECONDS = 0.3
"""Time for the transfer of a feeder's answer, added to the time for which the feeder
may wait for a change."""

FEEDER_BACKOFF_SECONDS = 2.0
"""Time for which the store is polled after the feeder gave no usable answer."""


class PeerFedStore:
    """Store client that gets changes of tables from a feeder, if there is one.

    Parameters
    ----------
    store : RelayedStore
    fleet : Fleet
    peers : PeerClient
    """

    def __init__(self, store: RelayedStore, fleet: Fleet, peers: PeerClient):
        self._store = store
        self._fleet = fleet
        self._peers = peers
        self._backoff_until = float("-inf")

    async def read(self, table: str, part: str) -> Rows | Unavailable:
        """Read all rows of a part from the store."""
        return await self._store.read(table, part)

    async def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Rows | HistoryLost | Unavailable:
        """Return what changed after a version; wait for a change if there is none yet.

        A call with ``wait_seconds`` of 0 goes to the store: the caller then has reason
        to assume that other hosts know newer changes.
        """
        feeder = self._fleet.feeder()
        now = asyncio.get_running_loop().time()
        if feeder is None or not wait_seconds or now < self._backoff_until:
            return await self._store.changes(table, after, wait_seconds)
        ask = FollowTable(table, after, wait_seconds)
        match await self._peers.call(feeder, ask, wait_seconds + ANSWER_MARGIN_SECONDS):
            case StoreOutcome() as answer:
                found = answer.unwrap()
                if not isinstance(found, Unavailable):
                    return found
        self._backoff_until = asyncio.get_running_loop().time() + FEEDER_BACKOFF_SECONDS
        return await self._store.changes(table, after, 0.0)

    def reconnect(self) -> None:
        """Open new connections to the store for the next calls."""
        self._store.reconnect()
