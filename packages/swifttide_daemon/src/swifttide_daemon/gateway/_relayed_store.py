"""The shared store, directly or through another host.

Load pattern: the store turns single hosts away, or a cut keeps them from it, while it
serves the others.

Without it: such a host would refuse every new program and every turn that goes on
from another host's, though the rest of the fleet is well.

Grounds: a transaction that is sent twice takes effect once: writes are under a
condition that the first one ends, or write the same bytes again.
"""

import asyncio

from swifttide_daemon.gateway._fleet import Fleet
from swifttide_daemon.gateway._peer_client import PeerClient
from swifttide_daemon.gateway._peer_messages import (
    RelayChanges,
    RelayCommit,
    RelayRead,
    StoreOutcome,
)
from swifttide_daemon.gateway._shared_store import (
    Applied,
    Conflict,
    HistoryLost,
    Rows,
    SharedStore,
    Transaction,
    Unavailable,
)
from swifttide_daemon.telemetry import EventLog

DOWN_SECONDS = 0.5
"""How long the direct way is left alone after it failed, while there is another."""

MAX_PEERS = 2
"""Hosts that are asked to relay one call."""

RELAY_SECONDS = 1.2
"""Time for a relayed call: the store's own and the way there and back."""


class RelayedStore:
    """Reaches the store as long as one host that is heard reaches it.

    Parameters
    ----------
    direct : SharedStore
    fleet : Fleet
    peers : PeerClient
    log : EventLog
    """

    def __init__(
        self, direct: SharedStore, fleet: Fleet, peers: PeerClient, log: EventLog
    ):
        self._direct = direct
        self._fleet = fleet
        self._peers = peers
        self._log = log
        self._failed_at = float("-inf")
        self.direct_up = True

    async def commit(self, tx: Transaction) -> Applied | Conflict | Unavailable:
        """Apply a transaction."""
        return await self._either(
            lambda: self._direct.commit(tx), RelayCommit(tx), RELAY_SECONDS
        )

    async def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Rows | Unavailable:
        """Read the rows of a part."""
        return await self._either(
            lambda: self._direct.read(table, part, start, end),
            RelayRead(table, part, start, end),
            RELAY_SECONDS,
        )

    async def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Rows | HistoryLost | Unavailable:
        """Wait for changes."""
        return await self._either(
            lambda: self._direct.changes(table, after, wait_seconds),
            RelayChanges(table, after, wait_seconds),
            wait_seconds + RELAY_SECONDS,
        )

    async def _either(self, call, relayed, seconds):
        now = asyncio.get_running_loop().time()
        outcome = Unavailable("left alone after a failure")
        rests = now - self._failed_at < DOWN_SECONDS
        helpers = self._fleet.with_store()[:MAX_PEERS]
        if not rests or not helpers:
            outcome = await call()
            self._note_direct(outcome)
        if not isinstance(outcome, Unavailable):
            return outcome
        for peer in self._fleet.with_store()[:MAX_PEERS]:
            match await self._peers.call(peer, relayed, seconds):
                case StoreOutcome() as answer:
                    found = answer.unwrap()
                    if not isinstance(found, Unavailable):
                        return found
        return outcome

    def _note_direct(self, outcome):
        up = not isinstance(outcome, Unavailable)
        if not up:
            self._failed_at = asyncio.get_running_loop().time()
        if up != self.direct_up:
            self.direct_up = up
            detail = "" if up else outcome.detail
            event = "store_reached" if up else "store_out_of_reach"
            self._log.warning(event, detail=detail)
