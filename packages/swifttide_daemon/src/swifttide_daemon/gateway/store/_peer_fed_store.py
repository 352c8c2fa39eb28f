"""Changes of rows, as other hosts pass them on.

Load pattern: hundreds of hosts follow tables in which some row is renewed all the time.

Without it: each of them asks the store for the same changes, some two hundred times
what one host would ask, and pays for each call.

Grounds: in each zone of a large fleet a few hosts ask the store, the others ask one of
those. What they learn is a few milliseconds older. Each answer tells its age, so that
hosts that ask each other don't take their silence for news, and whoever gets no answer,
or an old one, asks the store itself.
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
"""For the way of an answer, beyond the time for which a question waits."""

FEEDER_BACKOFF_SECONDS = 2.0
"""After a host gave no usable answer, until it is asked again."""


class PeerFedStore:
    """Follows tables through another host where there is one for it.

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
        """Return what changed after a version, waiting until something does.

        A question that doesn't wait goes to the store: whoever asks it has reason to
        think that others know more.
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
        """Make the next calls on new connections."""
        self._store.reconnect()
