"""Reaching the store through another host."""

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
    """A host that reaches the store."""

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
    """A store that turns this host away: with an answer, silence, or as too many."""

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
    """A store that takes some calls a second and turns the others away."""

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


class TestFullStore:
    """The store takes a tenth of the usual calls and turns the rest away."""

    def test_is_no_outage(self, store, log):
        """Callers would be refused, and hosts would probe and relay all the more."""

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

    def test_watch_asks_no_host_that_is_turned_away_too(self, store, log):
        """The store takes too few calls for all hosts. Asked for each other, they would
        only add to them.
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

    def test_watch_asks_one_host_for_which_there_is_room(self, store, log):
        """The store turns this host away as one too many, and not another one.

        One question goes through that host, and no probes beside it.
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

    def test_only_some_hosts_are_turned_away(self, store, log):
        """The store turns this host away and serves the others."""

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
    def test_host_that_is_turned_away_asks_another(self, store, log):
        async def main():
            found, _ = relayed_store(RefusingStore(False), store, log)
            return await found.commit(TX), store.rows.rows

        outcome, rows = run_paused(main())
        assert isinstance(outcome, Applied)
        assert rows[("t", "", "k")].value == b"v"

    def test_fails_at_once_while_nobody_reaches_it(self, store, log):
        """The store is down for all, and doesn't answer.

        Each request would otherwise wait most of its time before it is refused.
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

    def test_silence_is_noticed_before_the_first_call_has_failed(self, store, log):
        """The store falls silent: it takes connections and never answers.

        Until that is known callers wait for their whole time, and nothing is lent.
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

    def test_notices_that_the_store_is_back(self, store, log):
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
        """The store writes a row and its answer is lost.

        A second call, on a new connection, tells so long before the first one's time
        is over.
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

    def test_slow_store_is_not_asked_twice(self, store, log):
        """Each answer of the store takes half a second.

        Calls made twice and three times would slow it down further, and all of them
        would run out of time.
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


class TestFollowing:
    @pytest.mark.parametrize(
        ("silent", "throttled"), [(True, False), (False, False), (False, True)]
    )
    def test_host_that_is_turned_away_learns_of_changes(
        self, store, log, silent, throttled
    ):
        """The store turns one host away, in one way or another, and serves the others.

        Its beacons tell it that there is a newer configuration. Callers with a key that
        was taken away reach this host, and it must not serve them for long.
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
