"""Tests of reaching the store through another host."""

import asyncio

import pytest

from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.peers._peer_messages import (
    RelayChanges,
    RelayCommit,
    RelayRead,
    StoreOutcome,
)
from swifttide_daemon.gateway.store._relayed_store import RelayedStore
from swifttide_daemon.gateway.store._shared_store import (
    Applied,
    Put,
    RowKey,
    Rows,
    Transaction,
    Unavailable,
)
from swifttide_daemon.gateway.store._table_watch import TableWatch
from swifttide_standins.paused_clock import run_paused

HELPER = Peer("10.0.0.2", 1, "zone-a", "b2")
TX = Transaction(puts=(Put(RowKey("t", "", "k"), b"v"),))


class RelayPeers:
    """Peer client whose only host reaches the store and relays calls to it."""

    def __init__(self, store):
        self.store = store
        self.n_calls = 0

    async def call(self, peer, request, seconds):
        self.n_calls += 1
        match request:
            case RelayCommit(tx):
                return StoreOutcome.of(await self.store.commit(tx))
            case RelayChanges(table, after, wait):
                return StoreOutcome.of(await self.store.changes(table, after, wait))
            case RelayRead(table, part, start, end):
                return StoreOutcome.of(await self.store.read(table, part, start, end))
        return StoreOutcome.of(Unavailable("not here"))


class RefusingStore:
    """Store that rejects this host: with an error, no answer, or by throttling."""

    def __init__(self, silent, throttled=False):
        self.silent = silent
        self.throttled = throttled

    async def commit(self, tx):
        return await self._fail()

    async def read(self, *args):
        return await self._fail()

    async def changes(self, table, after, wait_seconds):
        if self.silent:
            await asyncio.sleep(wait_seconds + 1.0)
        return await self._fail()

    async def _fail(self):
        await asyncio.sleep(0.8 if self.silent else 0.004)
        return Unavailable("turned away", self.silent, self.throttled)

    def reconnect(self):
        pass


def relayed_store(direct, store, log, helped=True, has_room=True):
    fleet = Fleet(Peer("10.0.0.1", 1, "zone-a", "b1"), log)
    fleet.peers_reaching_store = lambda: [HELPER] if helped else []
    fleet.relay_candidates = lambda homes=None: (
        fleet.peers_reaching_store() if has_room else []
    )
    peers = RelayPeers(store)
    return RelayedStore(direct, fleet, peers, GatewayMetrics("h", "z"), log), peers


class ThrottlingStore:
    """Store that accepts a number of calls per second and throttles the others."""

    def __init__(self, store, per_second):
        self._store = store
        self._per_second = per_second
        self._level = 1.0
        self._at = 0.0
        self.n_calls = 0

    async def commit(self, tx):
        return await self._call(lambda: self._store.commit(tx))

    async def read(self, *args):
        return await self._call(lambda: self._store.read(*args))

    async def changes(self, *args):
        return await self._call(lambda: self._store.changes(*args))

    async def _call(self, call):
        self.n_calls += 1
        now = asyncio.get_running_loop().time()
        self._level = min(1.0, self._level + (now - self._at) * self._per_second)
        self._at = now
        if self._level < 1.0:
            return Unavailable("status 429", throttled=True)
        self._level -= 1.0
        return await call()

    def reconnect(self):
        pass


class TestThrottlingStore:
    """The store accepts a tenth of the usual calls and throttles the rest."""

    def test_throttling_is_not_an_outage(self, store, log):
        """Guards against throttling that is mistaken for an outage.

        Callers would then be refused, and hosts would add load by probes and relays.
        """

        async def main():
            full = ThrottlingStore(store, 20)
            found, peers = relayed_store(full, store, log, helped=False)
            calls = [found.commit(TX) for _ in range(6)]
            outcomes = await asyncio.gather(*calls)
            return outcomes, found.direct_up, full.n_calls

        outcomes, up, n_calls = run_paused(main())
        assert up
        assert all(isinstance(outcome, Applied) for outcome in outcomes)
        assert n_calls <= 36

    def test_changes_are_not_relayed_through_throttled_hosts(self, store, log):
        """Guards against additional load on a store that throttles all hosts.

        The store accepts too few calls for all hosts, and relaying them would only add
        further calls.
        """

        async def main():
            full = ThrottlingStore(store, 0.1)
            found, peers = relayed_store(full, store, log, has_room=False)
            await found.read("t", "")
            outcome = await found.changes("t", 0, 2.0)
            return outcome, peers.n_calls, found.direct_up

        outcome, n_relayed, up = run_paused(main())
        assert isinstance(outcome, Unavailable)
        assert (n_relayed, up) == (0, True)

    def test_changes_are_relayed_once_through_an_unthrottled_host(self, store, log):
        """The store throttles this host but not another one.

        One call is relayed through the other host, without any probes.
        """

        async def main():
            store.rows.put("t", "a", b"1")
            full = ThrottlingStore(store, 0.0)
            found, peers = relayed_store(full, store, log)
            await found.read("t", "")
            outcome = await found.changes("t", 0, 2.0)
            return outcome, peers.n_calls, full.n_calls, found.direct_up

        outcome, n_relayed, n_direct, up = run_paused(main())
        assert isinstance(outcome, Rows)
        assert (n_relayed, n_direct, up) == (1, 2, True)

    def test_commits_are_relayed_while_only_this_host_is_throttled(self, store, log):
        """The store throttles this host and serves the others."""

        async def main():
            found, _ = relayed_store(ThrottlingStore(store, 0.0), store, log)
            await found.read("t", "")
            loop = asyncio.get_running_loop()
            before = loop.time()
            outcomes = [await found.commit(TX) for _ in range(5)]
            return outcomes, (loop.time() - before) / 5

        outcomes, seconds = run_paused(main())
        assert all(isinstance(outcome, Applied) for outcome in outcomes)
        assert seconds < 0.1


class TestRelay:
    def test_rejected_host_commits_through_another_host(self, store, log):
        async def main():
            found, _ = relayed_store(RefusingStore(False), store, log)
            return await found.commit(TX), store.rows.rows

        outcome, rows = run_paused(main())
        assert isinstance(outcome, Applied)
        assert rows[("t", "", "k")].value == b"v"

    def test_commit_fails_at_once_while_no_host_reaches_the_store(self, store, log):
        """Guards against calls that wait for a store known to be down.

        The store does not answer any host. Each request would otherwise wait for most
        of its time before it is refused.
        """

        async def main():
            found, _ = relayed_store(RefusingStore(True), store, log, helped=False)
            await found.commit(TX)
            await asyncio.sleep(1.0)
            loop = asyncio.get_running_loop()
            before = loop.time()
            outcome = await found.commit(TX)
            return outcome, loop.time() - before

        outcome, seconds = run_paused(main())
        assert isinstance(outcome, Unavailable)
        assert seconds == 0.0

    def test_hanging_store_is_detected_before_the_first_call_fails(self, store, log):
        """Guards against late detection of a store that accepts connections but hangs.

        Until it is detected, callers wait for their full timeout, and hosts do not lend
        tokens.
        """

        async def main():
            silent = RefusingStore(True)
            found, _ = relayed_store(silent, store, log, helped=False)
            call = asyncio.create_task(found.commit(TX))
            await asyncio.sleep(0.7)
            seen = found.direct_up, call.done()
            await call
            return seen

        assert run_paused(main()) == (False, False)

    def test_recovery_of_the_store_is_detected(self, store, log):
        async def main():
            store.down = True
            found, _ = relayed_store(store, store, log, helped=False)
            await found.commit(TX)
            await asyncio.sleep(1.0)
            was_up = found.direct_up
            store.down = False
            await asyncio.sleep(0.5)
            return was_up, found.direct_up, await found.read("t", "")

        was_up, is_up, rows = run_paused(main())
        assert (was_up, is_up) == (False, True)
        assert isinstance(rows, Rows)

    def test_lost_answer_costs_a_quarter_of_a_second(self, store, log):
        """Guards against waiting for the full timeout after a lost answer.

        The store writes a row and its answer is lost. A second call on a new connection
        gets the answer long before the first one times out.
        """

        async def main():
            store.n_lost_answers = 1
            found, _ = relayed_store(store, store, log, helped=False)
            loop = asyncio.get_running_loop()
            before = loop.time()
            outcome = await found.commit(TX)
            return outcome, loop.time() - before

        outcome, seconds = run_paused(main())
        assert isinstance(outcome, Applied)
        assert seconds < 0.3

    def test_slow_store_gets_no_duplicate_calls(self, store, log):
        """Guards against duplicate calls that overload a slow store.

        Each answer of the store takes half a second. Duplicate calls would slow it down
        further, until all calls time out.
        """

        async def main():
            found, peers = relayed_store(store, store, log)
            quick = store.commit

            async def slow(tx):
                await asyncio.sleep(0.5)
                return await quick(tx)

            store.commit = slow
            outcomes = [await found.commit(TX) for _ in range(2)]
            before = store.n_calls
            outcomes += [await found.commit(TX) for _ in range(10)]
            return outcomes, store.n_calls - before

        outcomes, n_calls = run_paused(main())
        assert all(isinstance(o, Applied) for o in outcomes)
        assert n_calls == 10


class TestFollowingThroughRelay:
    @pytest.mark.parametrize(
        ("silent", "throttled"), [(True, False), (False, False), (False, True)]
    )
    def test_rejected_host_receives_changes(self, store, log, silent, throttled):
        """Guards against a host that keeps accepting a withdrawn key.

        The store rejects one host and serves the others, whose beacons state that there
        is a newer configuration. Callers with a withdrawn key reach this host, and it
        must not serve them for long.
        """

        async def main():
            store.rows.put("t", "a", b"1")
            direct = RefusingStore(silent, throttled)
            through, _ = relayed_store(direct, store, log)
            seen = {}

            def take(rows):
                seen.update({r.key.key: r.value for r in rows})
                return max((r.version for r in rows), default=0)

            async def no_copy(table):
                return None

            watch = TableWatch(through, "t", take, take, lambda up: None, no_copy, log)
            task = asyncio.create_task(watch.run())
            await asyncio.sleep(4.0)
            store.rows.put("t", "a", b"2")
            for _ in range(10):
                await asyncio.sleep(0.2)
                watch.on_peer_change(store.rows.version)
            task.cancel()
            return seen

        assert run_paused(main()) == {"a": b"2"}
