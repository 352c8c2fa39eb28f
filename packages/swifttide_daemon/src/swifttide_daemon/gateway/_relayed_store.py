"""The shared store, directly or through another host.

Load pattern: the store turns single hosts away, or a cut keeps them from it, while it
serves the others.

Without it: such a host would refuse every new program and every turn that goes on
from another host's, though the rest of the fleet is well.

Grounds: a transaction that is sent twice takes effect once: writes are under a
condition that the first one ends, or write the same bytes again.
"""

import asyncio
import random

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

SECOND_TRY_SECONDS = 0.25
"""A call without an answer is made a second time after so long, on a new connection:
twenty times what one takes. Its answer may be lost, or its connection silent."""

PROBE_SECONDS = 0.2
"""Between questions to a store that didn't answer."""

PROBE_TABLE = "fleet"
PROBE_KEY = "probe"
"""A row that doesn't exist: the answer tells that the store is there."""

MAX_PEERS = 2
"""Hosts that are asked to relay one call."""

RELAY_SECONDS = 1.0
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
        self._probe: asyncio.Task | None = None
        self.direct_up = True

    async def commit(self, tx: Transaction) -> Applied | Conflict | Unavailable:
        """Apply a transaction."""
        return await self._either(lambda: self._direct.commit(tx), RelayCommit(tx))

    async def read(
        self, table: str, part: str, start: str = "", end: str = ""
    ) -> Rows | Unavailable:
        """Read the rows of a part."""
        return await self._either(
            lambda: self._direct.read(table, part, start, end),
            RelayRead(table, part, start, end),
        )

    async def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Rows | HistoryLost | Unavailable:
        """Wait for changes."""
        outcome = await self._direct.changes(table, after, wait_seconds)
        if not isinstance(outcome, Unavailable):
            return outcome
        self._doubt(outcome)
        seconds = wait_seconds + RELAY_SECONDS
        relayed = RelayChanges(table, after, wait_seconds)
        return await self._relay(relayed, seconds, outcome)

    def reconnect(self) -> None:
        """Make the next calls on new connections."""
        self._direct.reconnect()

    async def _either(self, call, relayed):
        if self.direct_up:
            outcome = await self._twice(call)
            if not isinstance(outcome, Unavailable):
                return outcome
            self._doubt(outcome)
        else:
            # Known to be down: fail at once, rather than let callers wait in vain.
            outcome = Unavailable("out of reach")
        return await self._relay(relayed, RELAY_SECONDS, outcome)

    async def _relay(self, relayed, seconds, outcome):
        for peer in self._fleet.with_store()[:MAX_PEERS]:
            match await self._peers.call(peer, relayed, seconds):
                case StoreOutcome() as answer:
                    found = answer.unwrap()
                    if not isinstance(found, Unavailable):
                        return found
        return outcome

    async def _twice(self, call):
        """Make a call, and once more when its answer is long in coming."""
        first = asyncio.ensure_future(call())
        second = None
        try:
            done, _ = await asyncio.wait((first,), timeout=SECOND_TRY_SECONDS)
            if done:
                return first.result()
            self._direct.reconnect()
            second = asyncio.ensure_future(call())
            pending = {first, second}
            outcome = Unavailable("no answer")
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    outcome = task.result()
                    if not isinstance(outcome, Unavailable):
                        return outcome
            return outcome
        finally:
            first.cancel()
            if second is not None:
                second.cancel()

    def _doubt(self, outcome):
        """Ask the store whether it is there, until it answers."""
        if self._probe is None or self._probe.done():
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._ask(outcome.detail))

    async def _ask(self, detail):
        while True:
            self._direct.reconnect()
            answer = await self._direct.read(PROBE_TABLE, "", PROBE_KEY, PROBE_KEY)
            up = not isinstance(answer, Unavailable)
            if up != self.direct_up:
                self.direct_up = up
                event = "store_reached" if up else "store_out_of_reach"
                self._log.warning(event, detail="" if up else detail)
            if up:
                return
            detail = answer.detail
            await asyncio.sleep(PROBE_SECONDS * random.uniform(0.7, 1.3))
