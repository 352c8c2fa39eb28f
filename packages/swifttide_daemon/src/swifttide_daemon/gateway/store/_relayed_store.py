"""Store client that calls the store directly, or through another host as a relay.

The store may reject individual hosts, or a network partition may separate them from it,
while it serves the other hosts. Without relays such a host would refuse every new
program and every turn that continues a turn of another host, although the rest of the
fleet works normally.

A store that throttles a call is available. Throttled calls are retried after a short
backoff, and relayed only through hosts that the store does not throttle. If throttling
were treated as an outage, every host would probe and relay, which would add to the load
on the store.

A call may be sent twice, because a transaction that is sent twice takes effect once: a
write either has a condition that no longer holds after the first one, or writes the
same bytes again.
"""

import asyncio
import functools
import random

from swifttide_core.forwarding import AllowedRegions
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer_client import PeerClient
from swifttide_daemon.gateway.peers._peer_messages import (
    RelayChanges,
    RelayCommit,
    RelayRead,
    StoreOutcome,
)
from swifttide_daemon.gateway.store._call_latency import CallLatency
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

PROBE_INTERVAL_SECONDS = 0.2
"""Mean time between probes of a store that did not answer."""

PROBE_TABLE = "fleet"
PROBE_KEY = "probe"
"""Table and key of a row that does not exist. Any answer to a read of it shows that the
store is available."""

PROBE_TIMEOUT_SECONDS = 0.4
"""Timeout of a probe. It is a hundred times the duration of a probe while the store
works normally, and longer than a probe takes while the store is slow."""

THROTTLED_SECONDS = 0.5
"""Time after a throttled call for which the store counts as throttling this host. It
equals the longest queueing delay that the store accepts in one part."""

MIN_THROTTLE_BACKOFF_SECONDS = 0.05
"""First backoff after a throttled call. It doubles each time. The actual delay is drawn
at random between half of it and all of it, so that hosts do not retry at once."""

MAX_THROTTLE_BACKOFF_SECONDS = 0.2
"""Upper limit of the backoff: a fifth of the timeout of a call."""

MAX_RELAY_PEERS = 2
"""Upper limit of hosts that are asked to relay one call."""

RELAY_TIMEOUT_SECONDS = 1.0
"""Timeout of a relayed call, for the store's own time and the transfer."""


class RelayedStore:
    """Store client that works as long as this host or any heard host reaches the store.

    Parameters
    ----------
    direct : SharedStore
    fleet : Fleet
    peers : PeerClient
    metrics : GatewayMetrics
    log : EventLog

    Attributes
    ----------
    direct_up : bool
        Whether calls go to the store directly. A host that starts assumes so until a
        call fails.
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
        self._latency = CallLatency()
        self._throttled_at = float("-inf")
        self.direct_up = True
        self._answered_at: float | None = None

    @property
    def is_known_up(self) -> bool:
        """Whether the store has answered this host, and still does.

        Other hosts rely on this. If a host that starts within a partition reported that
        it reaches the store, its zone would not count as isolated.
        """
        return self.direct_up and self._answered_at is not None

    @property
    def seconds_since_answer(self) -> float:
        """Time since the store last answered this host; infinite if it never did."""
        if self._answered_at is None:
            return float("inf")
        return asyncio.get_running_loop().time() - self._answered_at

    async def commit(
        self, tx: Transaction, homes: AllowedRegions = None
    ) -> Applied | Conflict | Unavailable:
        """Apply a transaction; only hosts in these regions may relay it."""
        relayed = RelayCommit(tx)

        def call():
            return self._call_directly(self._direct.commit(tx))

        return await self._hedged_call(call, relayed, homes)

    async def read(
        self,
        table: str,
        part: str,
        start: str = "",
        end: str = "",
        homes: AllowedRegions = None,
    ) -> Rows | Unavailable:
        """Read the rows of a part; only hosts in these regions may relay them."""
        relayed = RelayRead(table, part, start, end)

        def call():
            return self._call_directly(self._direct.read(table, part, start, end))

        if start or end:
            return await self._hedged_call(call, relayed, homes)
        # A whole part may be large: two concurrent reads would take twice as long.
        return await self._direct_then_relay(
            call, relayed, RELAY_TIMEOUT_SECONDS, homes
        )

    async def changes(
        self, table: str, after: int, wait_seconds: float
    ) -> Rows | HistoryLost | Unavailable:
        """Return what changed after a version; wait for a change if there is none.

        If the store rejects this host or does not answer it, the call is relayed.
        Otherwise the host would continue with an old configuration, and accept keys and
        use targets that have been withdrawn.
        """
        return await self._direct_then_relay(
            lambda: self._call_directly(
                self._direct.changes(table, after, wait_seconds)
            ),
            RelayChanges(table, after, wait_seconds),
            wait_seconds + RELAY_TIMEOUT_SECONDS,
        )

    async def _call_directly(self, call):
        """Await a call to the store, and note whether the store has answered."""
        outcome = await call
        if not isinstance(outcome, Unavailable) or outcome.throttled:
            self._answered_at = asyncio.get_running_loop().time()
        return outcome

    async def _direct_then_relay(self, call, relayed, seconds, homes=None):
        """Call the store and, if it does not answer this host, use a relay."""
        outcome = Unavailable("store unreachable from this host")
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
        """Whether the store has recently throttled calls of this host."""
        return (
            asyncio.get_running_loop().time() - self._throttled_at < THROTTLED_SECONDS
        )

    @property
    def is_probing(self) -> bool:
        """Whether a probe of the store is in progress."""
        return self._probe is not None and not self._probe.done()

    @property
    def is_reachable(self) -> bool:
        """Whether this host or a heard host reaches the store."""
        return self.direct_up or bool(self._fleet.peers_reaching_store())

    def reconnect(self) -> None:
        """Open new connections for the next calls, and probe the store.

        The caller has not got an answer in time. If the probe shows that the store
        itself does not answer, and not only the connection, calls are relayed.
        """
        self._direct.reconnect()
        self._start_probe(Unavailable("no answer yet"))

    async def _hedged_call(self, call, relayed, homes):
        if not self.is_reachable:
            # The store is known to be unreachable: fail at once, so that callers do not
            # wait for the timeout.
            return Unavailable("store unreachable from all hosts")
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            async with asyncio.timeout(self._latency.timeout_seconds):
                outcome = await self._run_attempts(call, relayed, homes)
        except TimeoutError:
            outcome = Unavailable("no answer", True)
            if not self.is_throttled:
                self._start_probe(outcome)
        name = type(relayed).__name__
        seconds = loop.time() - began
        self._metrics.store_call(name, type(outcome).__name__, seconds)
        if not isinstance(outcome, Unavailable):
            self._latency.record(seconds)
        return outcome

    async def _run_attempts(self, call, relayed, homes):
        """Start one attempt after the other and return the first answer.

        An attempt that has not answered after the hedge delay keeps running while the
        next one starts. Several attempts may carry out a transaction, which takes
        effect only once.
        """
        attempts = self._attempts(call, relayed, homes)
        pause = MIN_THROTTLE_BACKOFF_SECONDS
        pending: set[asyncio.Task] = set()
        outcome = Unavailable("no connection or relay to the store")
        try:
            while attempts or pending:
                if attempts:
                    pending.add(asyncio.ensure_future(attempts.pop(0)()))
                wait = self._latency.hedge_seconds if attempts else None
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
                    if not attempts:
                        # No other route is left: retry until the call times out.
                        attempts.append(call)
                if not done:
                    # If the connection is dead, the next attempt opens a new one. If
                    # the store does not answer at all, a short probe shows that before
                    # this call times out.
                    self._direct.reconnect()
                    self._start_probe(Unavailable("no answer yet"))
            return outcome
        finally:
            for task in pending:
                task.cancel()

    def _attempts(self, call, relayed, homes):
        """Return the attempts of a call, those most likely to succeed first."""
        direct = [call, call] if self.direct_up else []
        relays = [
            functools.partial(self._ask_peer, peer, relayed)
            for peer in self._fleet.relay_candidates(homes)[:MAX_RELAY_PEERS]
        ]
        if self.is_throttled:
            # The store may throttle only some hosts, so a relay goes first.
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
        """Probe the store, because no beacons arrive from other zones."""
        if self.direct_up:
            self._start_probe(Unavailable("no beacons from other zones"))

    def _start_probe(self, outcome):
        """Start probing the store, unless a probe is already in progress."""
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
                return await self._call_directly(
                    self._direct.read(PROBE_TABLE, "", PROBE_KEY, PROBE_KEY)
                )
        except TimeoutError:
            return Unavailable("no answer")
