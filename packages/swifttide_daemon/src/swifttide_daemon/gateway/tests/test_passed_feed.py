"""Tests of hosts that follow a table through other hosts."""

import asyncio

import pytest

from swifttide_daemon.gateway.peers._fleet import (
    FEEDERS_PER_ZONE,
    MIN_PEERS_FOR_FEEDERS,
    Fleet,
)
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.peers._peer_messages import FollowTable, StoreOutcome
from swifttide_daemon.gateway.store._peer_fed_store import PeerFedStore
from swifttide_daemon.gateway.store._shared_store import Unavailable
from swifttide_daemon.gateway.store._table_watch import TableWatch
from swifttide_standins.paused_clock import run_paused


class FollowingHosts:
    """Hosts of two zones that follow one table; also their peer client.

    Attributes
    ----------
    frozen : set of str
        IP addresses of hosts that do not answer calls.
    """

    def __init__(self, store, log, n_hosts):
        self.store = store
        self.frozen = set()
        self.peers = [
            Peer(f"h{i}", 1, f"zone-{i % 2}", "boot", 1.0 + (i < 6))
            for i in range(n_hosts)
        ]
        self.watches, self.seen, self.fleets = {}, {}, {}
        for peer in self.peers:
            self._add(peer, log)

    def _add(self, own, log):
        fleet = self.fleets[own.ip] = Fleet(own, log)
        for peer in self.peers:
            if peer is not own:
                fleet.record_beacon(peer, True, pause_seconds=1000.0)
        seen = self.seen[own.ip] = {}

        def take(rows):
            seen.update({r.key.key: r.value for r in rows})
            return max((r.version for r in rows if r.value != b"same"), default=0)

        async def no_copy(table):
            return None

        source = PeerFedStore(self.store, fleet, self)
        self.watches[own.ip] = TableWatch(
            source, "t", take, take, lambda up: None, no_copy, log, 0.8
        )

    async def call(self, peer, request, seconds):
        """Answer a call as the peer would, unless it is frozen."""
        if peer.ip in self.frozen:
            await asyncio.sleep(seconds)
            return None
        match request:
            case FollowTable(_, after, wait):
                found = await self.watches[peer.ip].changes_after(after, wait)
                return StoreOutcome.of(found)

    def run(self):
        return [asyncio.create_task(w.run()) for w in self.watches.values()]


@pytest.fixture
def run_scenario(store, log):
    def run(scenario, n_hosts=100):
        async def main():
            hosts = FollowingHosts(store, log, n_hosts)
            store.rows.put("t", "a", b"1")
            tasks = hosts.run()
            await asyncio.sleep(5.0)
            found = await scenario(hosts)
            for task in tasks:
                task.cancel()
            return found

        return run_paused(main())

    return run


class TestPeerFedStore:
    def test_store_calls_do_not_grow_with_the_fleet(self, run_scenario, store):
        """Guards against store calls in proportion to the hosts that follow a table."""

        async def scenario(hosts):
            before = store.n_calls
            for _ in range(40):
                store.rows.put("t", "renewed", b"same")
                await asyncio.sleep(0.5)
            return store.n_calls - before

        n_feeders = 2 * FEEDERS_PER_ZONE
        assert run_scenario(scenario) <= 20.0 / 0.8 * n_feeders * 1.2

    def test_small_fleet_has_no_feeders(self, run_scenario):
        async def scenario(hosts):
            return [fleet.feeder() for fleet in hosts.fleets.values()]

        assert (
            run_scenario(scenario, MIN_PEERS_FOR_FEEDERS)
            == [None] * MIN_PEERS_FOR_FEEDERS
        )

    def test_change_reaches_all_hosts_within_a_second(self, run_scenario, store):
        async def scenario(hosts):
            store.rows.put("t", "a", b"2")
            await asyncio.sleep(1.0)
            return {seen["a"] for seen in hosts.seen.values()}

        assert run_scenario(scenario) == {b"2"}

    def test_removals_are_forwarded(self, run_scenario, store):
        async def scenario(hosts):
            store.rows.remove("t", "a")
            await asyncio.sleep(1.0)
            return {seen["a"] for seen in hosts.seen.values()}

        assert run_scenario(scenario) == {None}

    def test_frozen_feeder_is_bypassed(self, run_scenario, store):
        """Guards against outdated copies while the hosts that poll the store hang."""

        async def scenario(hosts):
            hosts.frozen = {
                p.ip for fleet in hosts.fleets.values() if (p := fleet.feeder())
            }
            store.rows.put("t", "a", b"2")
            await asyncio.sleep(3.5)
            return {s["a"] for ip, s in hosts.seen.items() if ip not in hosts.frozen}

        assert run_scenario(scenario) == {b"2"}

    def test_hosts_that_poll_each_other_detect_outdated_copies(
        self, run_scenario, store
    ):
        """Guards against two hosts that report to each other that nothing changed."""

        async def scenario(hosts):
            one, two = hosts.peers[20], hosts.peers[22]
            hosts.fleets[one.ip].feeder = lambda: two
            hosts.fleets[two.ip].feeder = lambda: one
            await asyncio.sleep(5.0)
            store.rows.put("t", "a", b"2")
            await asyncio.sleep(6.0)
            return hosts.seen[one.ip]["a"], hosts.seen[two.ip]["a"]

        assert run_scenario(scenario) == (b"2", b"2")

    def test_feeder_without_the_store_reports_unavailable(self, run_scenario, store):
        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(5.0)
            watch = next(iter(hosts.watches.values()))
            return await watch.changes_after(0, 0.1)

        assert isinstance(run_scenario(scenario), Unavailable)
