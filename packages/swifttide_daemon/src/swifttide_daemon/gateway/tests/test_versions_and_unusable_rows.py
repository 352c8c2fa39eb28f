"""Streams of the only version while another writer renews an unusable row."""

import asyncio

import pytest

from swifttide_core.forwarding import RoutingConfig
from swifttide_daemon.gateway._freshness import Freshness
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway._stall_detector import StallDetector
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.streams._stream_origins import StreamOrigins
from swifttide_daemon.gateway.streams._version_rows import VersionRows
from swifttide_daemon.gateway.tests._hosts import InProcessPeerClient
from swifttide_daemon.gateway.tests.test_confirmed_targets import Followed
from swifttide_daemon.gateway.tests.test_version_rows import route
from swifttide_standins.paused_clock import run_paused

N_FINDS = 400


@pytest.mark.parametrize("n_writers", [0, 1, 5])
def test_streams_of_the_only_version(store, log, n_writers):
    """Guards against refusals for as long as another writer renews its row."""

    async def main():
        store.rows.put("t", "t1", b"v1")
        host = Followed(store, log)
        host.beliefs.apply_config(RoutingConfig(1, (route(),)), "store")
        fleet = Fleet(Peer("10.0.0.1", 1, "a", "boot"), log)
        stalls = StallDetector(GatewayMetrics("h", "a"), log)
        freshness = Freshness(
            lambda: host.watch, lambda: host.watch, lambda: True, stalls
        )
        origins = StreamOrigins(
            fleet,
            InProcessPeerClient(dict),
            host.beliefs,
            lambda ip, message: None,
            freshness,
            log,
        )
        rows = VersionRows(store, fleet, host.beliefs, lambda: True, log)
        n_reads = 0
        read = rows._store.read

        class Counting:
            commit = store.commit

            async def read(self, *args):
                nonlocal n_reads
                n_reads += 1
                return await read(*args)

        rows._store = Counting()

        async def renew():
            n = 0
            while True:
                n += 1
                for i in range(n_writers):
                    await asyncio.sleep(1.0 / n_writers)
                    store.rows.put("t", f"other{i}", f"? {n}".encode())
                if not n_writers:
                    await asyncio.sleep(1.0)

        tasks = [
            asyncio.create_task(each)
            for each in (host.watch.run(), rows.run(), renew())
        ]
        await asyncio.sleep(60.0)
        n_reads, began = 0, asyncio.get_running_loop().time()
        n_known = 0
        for _ in range(N_FINDS):
            n_known += await origins.find("c", "lost", route()) is not None
            await asyncio.sleep(0.05)
        seconds = asyncio.get_running_loop().time() - began
        for task in tasks:
            task.cancel()
        return n_known, round(n_reads / seconds, 2)

    n_known, reads_per_second = run_paused(main())
    assert n_known == N_FINDS, (n_known, reads_per_second)
