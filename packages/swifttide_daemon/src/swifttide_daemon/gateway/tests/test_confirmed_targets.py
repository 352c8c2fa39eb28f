"""Streams of one version where hosts, rows or the store are out of step."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from swifttide_core.forwarding import TargetEntry
from swifttide_core.resumption import RequestOrigins
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._freshness import Freshness
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway._stall_detector import StallDetector
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.store._membership_feed import MembershipFeed
from swifttide_daemon.gateway.store._peer_fed_store import PeerFedStore
from swifttide_daemon.gateway.store._relayed_store import RelayedStore
from swifttide_daemon.gateway.store._table_watch import TableWatch
from swifttide_daemon.gateway.store._unusable_rows import UnusableRows
from swifttide_daemon.gateway.tests._hosts import InProcessPeerClient
from swifttide_daemon.gateway.tests.test_stream_origins import (
    IPS,
    REGIONS,
    V1,
    V2,
    play,
    zone_of,
)
from swifttide_standins.paused_clock import run_paused

__all__ = ["play"]


def decode(target_id, value):
    if value.startswith(b"?"):
        raise ValueError("unusable")
    version = value.decode().split()[0]
    return TargetEntry(
        target_id, "chat", "10.9.0.1", 80, "a", 12, software_version=version
    )


class Followed:
    """Beliefs that follow the table of targets."""

    def __init__(self, store, log):
        self.beliefs = Beliefs(lambda target_id: None, log, REGIONS)
        feed = MembershipFeed(
            SimpleNamespace(target=decode),
            self.beliefs,
            SimpleNamespace(record_entry=lambda entry: None),
            None,
            None,
            UnusableRows(log, GatewayMetrics("h", "a")),
        )

        async def find_copy(table):
            return None

        self.watch = TableWatch(
            store,
            "t",
            feed.replace_targets,
            feed.apply_target_changes,
            feed.set_store_state,
            find_copy,
            log,
            0.8,
        )


class TestRefreshedList:
    @pytest.mark.parametrize("refreshes", [False, True])
    def test_entries_that_expired_in_an_outage(self, store, log, refreshes):
        """Guards against targets that are dropped as a list is refreshed first."""

        async def main():
            store.rows.put("t", "t1", b"v1")
            host = Followed(store, log)
            task = asyncio.create_task(host.watch.run())
            await asyncio.sleep(0.5)
            store.down = True
            await asyncio.sleep(4.0)
            store.rows.remove("t", "t1")
            store.down = False
            if refreshes:
                await host.watch.refresh()
            await asyncio.sleep(1.0)
            task.cancel()
            return set(host.beliefs.targets)

        assert run_paused(main()) == {"t1"}

    @pytest.mark.parametrize("seed", range(6))
    @pytest.mark.parametrize("confirms", [False, True])
    def test_streams_taken_up_as_the_store_returns(self, store, log, confirms, seed):
        """Guards against targets that are dropped by streams taken up meanwhile."""
        random.seed(seed)

        async def main():
            store.rows.put("t", "t1", b"v1")
            fleet = Fleet(Peer(IPS[0], 1, "a", "boot"), log)
            metrics = GatewayMetrics("h", "a")
            peers = InProcessPeerClient(dict)
            relayed = RelayedStore(store, fleet, peers, metrics, log)
            host = Followed(PeerFedStore(relayed, fleet, peers), log)
            freshness = Freshness(
                lambda: host.watch,
                lambda: host.watch,
                lambda: relayed.is_reachable,
                StallDetector(metrics, log),
            )
            task = asyncio.create_task(host.watch.run())
            await asyncio.sleep(0.5)
            store.down = True
            await asyncio.sleep(4.0)
            store.rows.remove("t", "t1")
            store.down = False
            found = set()
            for _ in range(100):
                if confirms:
                    await freshness.confirm_targets()
                found.add(frozenset(host.beliefs.targets))
                await asyncio.sleep(0.02)
            task.cancel()
            return found

        assert run_paused(main()) == {frozenset({"t1"})}

    @pytest.mark.parametrize("writes", [False, True])
    def test_unusable_row_that_is_renewed(self, store, log, writes):
        """Guards against a history that another writer's row begins anew each time."""

        async def main():
            store.rows.put("t", "t1", b"v1")
            host = Followed(store, log)
            task = asyncio.create_task(host.watch.run())
            for n in range(100):
                await asyncio.sleep(1.0)
                store.rows.put("t", "t1", f"v1 {n}".encode())
                if writes:
                    store.rows.put("t", "other", f"? {n}".encode())
            await host.watch.refresh()
            task.cancel()
            seen = host.beliefs.versions_within("chat", 48.0)
            return seen.only_version, host.beliefs.n_version_restarts

        assert run_paused(main()) == ("v1", 1)


class TestRequestRecords:
    def test_host_cut_off_for_longer_than_a_stream_lasts(self, play, log):
        """Guards against a host cut off that counts as most of the keepers."""

        async def scenario(hosts):
            alone = hosts[IPS[0]]
            others = {ip: host for ip, host in hosts.items() if host is not alone}
            for ip in others:
                alone.fleet.record_beacon(
                    Peer(ip, 1, zone_of(ip), f"{ip}-boot"), True, pause_seconds=0.1
                )
            await asyncio.sleep(60.0)
            hosts.clear()
            hosts.update(others)
            hosts[IPS[1]].record("b", V2, request="r")
            hosts.clear()
            alone.record("a", V1, request="r")
            return alone.fleet.n_hosts(), await alone.find("", request="r")

        assert play(scenario) == (len(IPS), None)

    @pytest.mark.parametrize("is_stalled", [False, True])
    def test_stream_that_began_right_after_a_standstill(self, play, is_stalled):
        """Guards against a stream that no keeper is told of, as none is heard yet."""

        async def scenario(hosts):
            for host in hosts.values():
                for ip in IPS:
                    peer = Peer(ip, 1, zone_of(ip), f"{ip}-boot")
                    if ip != host.ip:
                        pause = 0.1 if host.ip == IPS[1] and is_stalled else 1e6
                        host.fleet.record_beacon(peer, True, pause_seconds=pause)
            await asyncio.sleep(2.0)
            hosts[IPS[0]].record("a", V1, request="r")
            hosts[IPS[1]].origins._of_requests = RequestOrigins()
            hosts[IPS[1]].record("b", V2, request="r")
            del hosts[IPS[1]]
            return await hosts[IPS[2]].find("", request="r")

        assert play(scenario) is None


class TestConfirmation:
    def test_call_that_hangs(self, store, log):
        """Guards against one call without an answer that holds up all later ones."""

        async def main():
            store.rows.put("t", "t1", b"v1")
            host = Followed(store, log)
            task = asyncio.create_task(host.watch.run())
            await asyncio.sleep(0.5)
            answering = store.changes

            async def hang_once(*args):
                store.changes = answering
                await asyncio.sleep(2.8)
                return await answering(*args)

            store.changes = hang_once
            outcomes = []
            for _ in range(6):
                try:
                    async with asyncio.timeout(0.5):
                        outcomes.append(await host.watch.refresh())
                except TimeoutError:
                    outcomes.append(False)
            task.cancel()
            return outcomes

        assert sum(run_paused(main())) >= 4


class TestRows:
    def test_target_that_came_and_went_unseen(self, store, log):
        """Guards against a history that doesn't know what it has missed."""

        async def main():
            store.rows.put("t", "t1", b"v1")
            host = Followed(store, log)
            task = asyncio.create_task(host.watch.run())
            await asyncio.sleep(60.0)
            host.watch._version = store.rows.version + 1
            store.rows.put("t", "new", b"v2")
            store.rows.remove("t", "new")
            await host.watch.refresh()
            task.cancel()
            return host.beliefs.versions_within("chat", 48.0).only_version

        assert run_paused(main()) is None

    def test_row_of_a_part(self, store, log):
        """Guards against a row in another part that removes the target of its key."""

        async def main():
            store.rows.put("t", "t1", b"v1")
            host = Followed(store, log)
            task = asyncio.create_task(host.watch.run())
            await asyncio.sleep(0.5)
            store.rows.put("t", "t1", b"v1", part="x")
            await asyncio.sleep(1.0)
            task.cancel()
            return set(host.beliefs.targets)

        assert run_paused(main()) == {"t1"}
