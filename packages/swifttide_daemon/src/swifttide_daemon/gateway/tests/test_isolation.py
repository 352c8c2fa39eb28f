"""Tests of how quickly a host detects that it is isolated, and of false detections."""

import asyncio

import pytest

from swifttide_daemon.gateway._gateway import HOUSEKEEPING_INTERVAL_SECONDS
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.peers._beacon_rounds import BEACON_INTERVAL_SECONDS
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._isolation import IsolationDetector
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.store._relayed_store import RelayedStore
from swifttide_standins.paused_clock import run_paused

PEERS = tuple(Peer(f"10.0.{z}.1", 1, f"zone-{z}", "b") for z in (1, 2))


class PartitionedHost:
    """Host that hears two other zones until a network partition separates it."""

    def __init__(self, store, log):
        self.fleet = Fleet(Peer("10.0.0.1", 1, "zone-0", "b"), log)
        metrics = GatewayMetrics("h", "zone-0")
        self.store = RelayedStore(store, self.fleet, None, metrics, log)
        self.isolation = IsolationDetector(self.fleet, self.store, log)

    async def run(self, seconds, heard=()):
        """Update the detector at its usual interval, with beacons from some peers.

        Returns the seconds until the host was first isolated, or None.
        """
        loop = asyncio.get_running_loop()
        began, isolated_at, next_beacon = loop.time(), None, loop.time()
        while loop.time() - began < seconds:
            if loop.time() >= next_beacon:
                next_beacon += BEACON_INTERVAL_SECONDS
                for peer in heard:
                    self.fleet.record_beacon(peer, False)
            self.isolation.update()
            if self.isolation.active and isolated_at is None:
                isolated_at = loop.time() - began
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
        return isolated_at


class TestIsolation:
    def test_partitioned_zone_is_detected_quickly(self, store, log):
        """Guards against an isolated host that keeps refusing its callers.

        Without quick detection the callers are not redirected to other zones.
        """

        async def main():
            cut = PartitionedHost(store, log)
            await cut.run(1.0, PEERS)
            store.hangs = True
            return await cut.run(3.0)

        assert run_paused(main()) <= 0.9

    def test_last_beacons_of_other_zones_do_not_hide_a_partition(self, store, log):
        """Guards against isolation that is seen only when all beacons have expired.

        In a large fleet that took two seconds and a half.
        """

        async def main():
            cut = PartitionedHost(store, log)
            await cut.run(1.0)
            for peer in PEERS:
                cut.fleet.record_beacon(peer, True, pause_seconds=1.0)
            store.hangs = True
            return await cut.run(3.0)

        # Here the partition begins with a beacon, and not up to a round later.
        assert run_paused(main()) <= 0.9 + BEACON_INTERVAL_SECONDS

    def test_host_that_starts_within_a_partition_does_not_hide_it(self, store, log):
        """Guards against hosts that report a store which never answered them.

        Hosts replaced within an isolated zone kept the whole zone from being detected.
        """

        async def main():
            cut, started = PartitionedHost(store, log), PartitionedHost(store, log)
            await cut.run(1.0, PEERS)
            store.hangs = True
            neighbour = Peer("10.0.0.2", 1, "zone-0", "new")
            loop = asyncio.get_running_loop()
            isolated = []
            for _ in range(15):
                cut.fleet.record_beacon(neighbour, started.store.is_known_up)
                cut.isolation.update()
                isolated.append((cut.isolation.active, loop.time()))
                await asyncio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)
            return [active for active, _ in isolated]

        isolated = run_paused(main())
        assert any(isolated)
        assert all(isolated[isolated.index(True) :])

    def test_unconfirmed_partition_takes_no_new_connections(self, store, log):
        """Guards against callers that are still sent to an isolated host.

        The balancer needs two failed probes to remove it.
        """

        async def main():
            cut = PartitionedHost(store, log)
            await cut.run(1.0, PEERS)
            store.hangs = True
            await cut.run(0.65)
            return cut.isolation.active, cut.isolation.is_suspected

        assert run_paused(main()) == (False, True)

    @pytest.mark.parametrize("heard", [PEERS, PEERS[:1]])
    def test_store_outage_alone_is_not_isolation(self, store, log, heard):
        """Guards against hosts that redirect callers in an outage of the store."""

        async def main():
            cut = PartitionedHost(store, log)
            await cut.run(1.0, PEERS)
            store.hangs = True
            return await cut.run(3.0, heard)

        assert run_paused(main()) is None

    def test_missing_beacons_while_the_store_answers_are_not_isolation(
        self, store, log
    ):
        """Guards against a host that reports not ready because beacons are late."""

        async def main():
            cut = PartitionedHost(store, log)
            await cut.run(1.0, PEERS)
            isolated_at = await cut.run(3.0)
            return isolated_at, cut.isolation.is_suspected

        assert run_paused(main()) == (None, False)
