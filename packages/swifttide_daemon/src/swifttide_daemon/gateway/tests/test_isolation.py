"""How soon a host knows that it is cut off."""

import asyncio

import pytest

from swifttide_daemon.gateway._gateway import HOUSEKEEPING_SECONDS
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.peers._beacon_rounds import BEACON_INTERVAL_SECONDS
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._isolation import IsolationDetector
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.store._relayed_store import RelayedStore
from swifttide_standins.paused_clock import run_paused

PEERS = tuple(Peer(f"10.0.{z}.1", 1, f"zone-{z}", "b") for z in (1, 2))


class PartitionedHost:
    """A host that hears two other zones until it is cut off from them."""

    def __init__(self, store, log):
        self.fleet = Fleet(Peer("10.0.0.1", 1, "zone-0", "b"), log)
        metrics = GatewayMetrics("h", "zone-0")
        self.store = RelayedStore(store, self.fleet, None, metrics, log)
        self.isolation = IsolationDetector(self.fleet, self.store, log)

    async def run(self, seconds, heard=()):
        """Check as the house is kept; return when it was isolated first, or None."""
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
            await asyncio.sleep(HOUSEKEEPING_SECONDS)
        return isolated_at


class TestIsolation:
    def test_cut_off_zone_is_noticed_soon(self, store, log):
        """Guards against callers that a host which is cut off keeps refusing."""

        async def main():
            cut = PartitionedHost(store, log)
            await cut.run(1.0, PEERS)
            store.hangs = True
            return await cut.run(3.0)

        assert run_paused(main()) <= 0.9

    @pytest.mark.parametrize("heard", [PEERS, PEERS[:1]])
    def test_outage_of_the_store_alone_is_none(self, store, log, heard):
        """Guards against hosts that send callers away in an outage of the store."""

        async def main():
            cut = PartitionedHost(store, log)
            await cut.run(1.0, PEERS)
            store.hangs = True
            return await cut.run(3.0, heard)

        assert run_paused(main()) is None

    def test_silence_while_the_store_answers_is_none(self, store, log):
        """Guards against a host that is not ready as beacons are late."""

        async def main():
            cut = PartitionedHost(store, log)
            await cut.run(1.0, PEERS)
            return await cut.run(3.0)

        assert run_paused(main()) is None
