"""The shared store, directly or through another host.

Load pattern: the store turns single hosts away, or a cut keeps them from it, while it
serves the others.

Without it: such a host would refuse every new program and every turn that goes on
from another host's, though the rest of the fleet is well.

A store that turns a call away as one too many is there: calls wait a little and are
made again, through another host only while the store has room for that one. Taken for
an outage, it would have every host probe and relay, and so be asked even more.

Grounds: a transaction that is sent twice takes effect once: writes are under a
condition that the first one ends, or write the same bytes again.
"""

import asyncio
import functools
import random

from swifttide_core.forwarding import Homes
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer_client import PeerClient
from swifttide_daemon.gateway.peers._peer_messages import (
    RelayChanges,
    RelayCommit,
    RelayRead,
    StoreOutcome,
)
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Conflict,
    HistoryLost,
    Rows,
    SharedStore,
    Transaction,
    Unavailable,
)
from swifttide_daemon.telemetry import EventLog

HEDGE_DELAY_SECONDS = 0.2
"""A call without an answer is made once more after so long, on a new connection and
then through another host: fifteen times what one takes. Its answer may be lost, or its
connection silent."""

CALL_TIMEOUT_SECONDS = 1.0
"""Time for a call by all ways together, while the store is well."""

HEDGE_LATENCY_FACTOR = 1.5
"""The next way is tried after so many times what calls take of late. A store that is
slow answers all the same; calls made twice would only make it slower."""

TIMEOUT_LATENCY_FACTOR = 3.0
"""Likewise for the end of a call."""

MAX_CALL_TIMEOUT_SECONDS = 2.0
"""Longest call: who waits for it leaves after two seconds without an event."""

LATENCY_DECAY_WEIGHT = 0.2
"""Weight of a call that was quicker than usual; a slower one counts at once."""

PROBE_INTERVAL_SECONDS = 0.2
"""Between questions to a store that didn't answer."""

PROBE_TABLE = "fleet"
PROBE_KEY = "probe"
"""A row that doesn't exist: the answer tells that the store is there."""

PROBE_TIMEOUT_SECONDS = 0.4
"""Time for a probe: a hundred times what it takes while the store is well, and more
than it takes while the store is slow."""

THROTTLED_SECONDS = 0.5
"""So long after a call was turned away the store counts as full for this host: as long
as the waiting that it takes on in one part."""

MIN_THROTTLE_BACKOFF_SECONDS = 0.05
"""First pause after a call was turned away; doubled each time, and drawn from half of
it to all of it, so that hosts don't come back at once."""

MAX_THROTTLE_BACKOFF_SECONDS = 0.2
"""Longest such pause: a fifth of a call's time."""

MAX_RELAY_PEERS = 2
"""Hosts that are asked to relay one call."""

RELAY_TIMEOUT_SECONDS = 1.0
"""Time for a relayed call: the store's own and the way there and back."""


class RelayedStore:
    """Reaches the store as long as one host that is heard reaches it.

    Parameters
    ----------
    direct : SharedStore
    fleet : Fleet
    peers : PeerClient
    metrics : GatewayMetrics
    log : EventLog
    """

    def __init__(
        self,
        direct: SharedStore,
        fleet: Fleet,
        peers: PeerClient,
        metrics: GatewayMetrics,
        log: EventLog,
    ):
        self._direct = direct
        self._fleet = fleet
        self._peers = peers
        self._metrics = metrics
        self._log = log
        self._probe: asyncio.Task | None = None
        self._recent_latency_seconds = 0.0
        self._throttled_at = float("-inf")
        self.direct_up = True

    async def commit(
        self, tx: Transaction, homes: Homes = None
    ) -> Applied | Conflict | Unavailable:
        """Apply a transaction; only hosts in these regions may carry it."""
        relayed = RelayCommit(tx)
        return await self._hedged_call(lambda: self._direct.commit(tx), relayed, homes)

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", homes: Homes = None
    ) -> Rows | Unavailable:
        """Read the rows of a part; only hosts in these regions may carry them."""
        relayed = RelayRead(table, part, start, end)

        def call():
            return self._direct.read(table, part, start, end)

        if start or end:
            return await self._hedged_call(call, relayed, homes)
        # A whole part may be large: read twice at a time it would take twice as long.
        return await self._direct_then_relay(
            call, relayed, RELAY_TIMEOUT_SECONDS, homes
        )

    async def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Rows | HistoryLost | Unavailable:
        """Wait for changes.

        A host that the store turns away, or doesn't answer, learns of them through
        another one: it would serve by an old configuration otherwise, and use keys and
        targets that are no longer to be used.
        """
        return await self._direct_then_relay(
            lambda: self._direct.changes(table, after, wait_seconds),
            RelayChanges(table, after, wait_seconds),
            wait_seconds + RELAY_TIMEOUT_SECONDS,
        )

    async def _direct_then_relay(self, call, relayed, seconds, homes=None):
        """Ask the store or, where it doesn't answer this host, another host."""
        outcome = Unavailable("out of reach")
        if self.direct_up:
            outcome = await call()
            if not isinstance(outcome, Unavailable):
                return outcome
            if outcome.throttled:
                self._record_throttling(relayed)
            else:
                self._start_probe(outcome)
        return await self._call_relays(relayed, seconds, outcome, homes)

    @property
    def is_throttled(self) -> bool:
        """Whether the store has turned calls of this host away lately as too many."""
        return (
            asyncio.get_running_loop().time() - self._throttled_at < THROTTLED_SECONDS
        )

    @property
    def is_probing(self) -> bool:
        """Whether it is being found out if the store is there."""
        return self._probe is not None and not self._probe.done()

    @property
    def is_reachable(self) -> bool:
        """Whether this host or one that it hears reaches the store."""
        return self.direct_up or bool(self._fleet.peers_reaching_store())

    def reconnect(self) -> None:
        """Make the next calls on new connections.

        Whoever asks for that has waited in vain. If the store is silent, and not only
        the connection, calls go through other hosts as soon as that is found out.
        """
        self._direct.reconnect()
        self._start_probe(Unavailable("no answer yet"))

    async def _hedged_call(self, call, relayed, homes):
        if not self.is_reachable:
            # Known to be down: fail at once, rather than let callers wait in vain.
            return Unavailable("out of reach")
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            usual = TIMEOUT_LATENCY_FACTOR * self._recent_latency_seconds
            limit = min(MAX_CALL_TIMEOUT_SECONDS, max(CALL_TIMEOUT_SECONDS, usual))
            async with asyncio.timeout(limit):
                outcome = await self._run_attempts(call, relayed, homes)
        except TimeoutError:
            outcome = Unavailable("no answer", True)
            if not self.is_throttled:
                self._start_probe(outcome)
        name = type(relayed).__name__
        seconds = loop.time() - began
        self._metrics.store_call(name, type(outcome).__name__, seconds)
        if not isinstance(outcome, Unavailable):
            self._record_latency(seconds)
        return outcome

    def _record_latency(self, seconds):
        faded = (
            self._recent_latency_seconds
            + (seconds - self._recent_latency_seconds) * LATENCY_DECAY_WEIGHT
        )
        self._recent_latency_seconds = max(seconds, faded)

    async def _run_attempts(self, call, relayed, homes):
        """Try one way after the other, not waiting long for any; take the first answer.

        All ways may carry a transaction out: it takes effect once.
        """
        ways = self._attempts(call, relayed, homes)
        pause = MIN_THROTTLE_BACKOFF_SECONDS
        pending: set[asyncio.Task] = set()
        outcome = Unavailable("no way to the store")
        try:
            while ways or pending:
                if ways:
                    pending.add(asyncio.ensure_future(ways.pop(0)()))
                usual = HEDGE_LATENCY_FACTOR * self._recent_latency_seconds
                wait = max(HEDGE_DELAY_SECONDS, usual) if ways else None
                done, pending = await asyncio.wait(
                    pending, timeout=wait, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    outcome = task.result()
                    if not isinstance(outcome, Unavailable):
                        return outcome
                    if not outcome.throttled:
                        self._start_probe(outcome)
                        continue
                    self._record_throttling(relayed)
                    await asyncio.sleep(pause * random.uniform(0.5, 1.0))
                    pause = min(2.0 * pause, MAX_THROTTLE_BACKOFF_SECONDS)
                    if not ways:
                        # Until the call's time is over: there is no other way.
                        ways.append(call)
                if not done:
                    # The connection may have gone silent: the next try opens another.
                    # Or the store has, which a short question tells sooner than the
                    # end of this call's time.
                    self._direct.reconnect()
                    self._start_probe(Unavailable("no answer yet"))
            return outcome
        finally:
            for task in pending:
                task.cancel()

    def _attempts(self, call, relayed, homes):
        """Return how the store may be reached, the likeliest way first."""
        direct = [call, call] if self.direct_up else []
        relays = [
            functools.partial(self._ask_peer, peer, relayed)
            for peer in self._fleet.relay_candidates(homes)[:MAX_RELAY_PEERS]
        ]
        if self.is_throttled:
            # It may turn only some hosts away.
            return relays[:1] + direct[:1] + relays[1:]
        return direct + relays

    def _record_throttling(self, relayed):
        if not self.is_throttled:
            table, part = relayed.table_and_part
            self._log.warning(
                "store_full", call=type(relayed).__name__, table=table, part=part
            )
        self._throttled_at = asyncio.get_running_loop().time()

    async def _ask_peer(self, peer, relayed):
        match await self._peers.call(peer, relayed, RELAY_TIMEOUT_SECONDS):
            case StoreOutcome() as answer:
                return answer.unwrap()
        return Unavailable("no answer from a peer", True)

    async def _call_relays(self, relayed, seconds, outcome, homes):
        for peer in self._fleet.relay_candidates(homes)[:MAX_RELAY_PEERS]:
            match await self._peers.call(peer, relayed, seconds):
                case StoreOutcome() as answer:
                    found = answer.unwrap()
                    if not isinstance(found, Unavailable):
                        return found
        return outcome

    def probe_store(self) -> None:
        """Find out whether the store is there; other hosts have fallen silent."""
        if self.direct_up:
            self._start_probe(Unavailable("other zones are silent"))

    def _start_probe(self, outcome):
        """Ask the store whether it is there, until it answers."""
        if self._probe is None or self._probe.done():
            loop = asyncio.get_running_loop()
            self._probe = loop.create_task(self._probe_until_reachable(outcome.detail))

    async def _probe_until_reachable(self, detail):
        while True:
            self._direct.reconnect()
            answer = await self._probe_once()
            up = not isinstance(answer, Unavailable) or answer.throttled
            if up != self.direct_up:
                self.direct_up = up
                event = "store_reached" if up else "store_out_of_reach"
                self._log.warning(event, detail="" if up else detail)
            if up:
                return
            detail = answer.detail
            await asyncio.sleep(PROBE_INTERVAL_SECONDS * random.uniform(0.7, 1.3))

    async def _probe_once(self):
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                return await self._direct.read(PROBE_TABLE, "", PROBE_KEY, PROBE_KEY)
        except TimeoutError:
            return Unavailable("no answer")
