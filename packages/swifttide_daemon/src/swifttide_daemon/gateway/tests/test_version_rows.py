"""Versions noted in the store, over losses of all hosts, on a paused clock."""

import asyncio

import pytest

from swifttide_core.forwarding import (
    RequestKind,
    Route,
    RoutingConfig,
    TargetEntry,
    WeightedService,
)
from swifttide_core.resumption import StreamOrigin
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.peers._peer_messages import FoundVersions, ReadVersions
from swifttide_daemon.gateway.streams._stream_origins import StreamOrigins
from swifttide_daemon.gateway.streams._version_rows import TABLE, VersionRows
from swifttide_daemon.gateway.tests._hosts import FeedsInStep, InProcessPeerClient
from swifttide_standins.paused_clock import run_paused

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
TIMEOUT_SECONDS = 2.0
LONG_SECONDS = 40.0
"""Longer than any stream lasts."""


def route(timeout=TIMEOUT_SECONDS):
    services = (WeightedService("chat", 1.0),)
    return Route(
        "r", "h", "/", RequestKind.STREAMING, services, timeout, 0.2, resumable=True
    )


class Host:
    """A host that notes the versions of targets, and is asked for streams."""

    def __init__(self, ip, site):
        self.site = site
        self.beliefs = Beliefs(lambda target_id: None, site.log)
        fleet = Fleet(Peer(ip, 1, "a", f"{ip}-boot"), site.log)
        for other in IPS:
            if other != ip:
                fleet.record_beacon(Peer(other, 1, "a", ""), True, pause_seconds=1e6)
        peers = InProcessPeerClient(lambda: site.hosts)
        self.origins = StreamOrigins(
            fleet,
            peers,
            self.beliefs,
            lambda ip, m: None,
            FeedsInStep(),
            site.log,
        )
        self.rows = VersionRows(
            site.store, fleet, self.beliefs, lambda: not site.store.down, site.log
        )
        self.see()
        self.task = asyncio.create_task(self.rows.run())

    async def answer(self, request):
        match request:
            case ReadVersions(service, seconds):
                seen = await self.origins.versions_within(service, seconds)
                return FoundVersions(seen)
        return self.origins.answer(request)

    def see(self):
        """Apply configuration and targets as a host does that has just started."""
        self.beliefs.apply_config(self.site.config, "store")
        self.beliefs.replace_targets(dict(self.site.targets))


class Site:
    """Some hosts, and the targets in service."""

    def __init__(self, store, log):
        self.store, self.log = store, log
        self.config = RoutingConfig(1, (route(),))
        self.targets = {}
        self.hosts = {}

    def start(self):
        self.hosts.update({ip: Host(ip, self) for ip in IPS})

    def lose(self):
        for host in self.hosts.values():
            host.task.cancel()
        self.hosts.clear()

    def release(self, *versions):
        """Replace all targets; hosts that run hear of it."""
        before, self.targets = self.targets, {}
        for n, version in enumerate(versions):
            id = f"{version}-{n}"
            self.targets[id] = TargetEntry(
                id, "chat", "10.9.0.1", n, "a", 12, software_version=version
            )
        for host in self.hosts.values():
            for entry in self.targets.values():
                host.beliefs.put_target(entry)
            for id in set(before) - set(self.targets):
                host.beliefs.remove_target(id)

    async def origin(self, timeout=TIMEOUT_SECONDS):
        """Return the origin of a stream that no host was told of."""
        found = [
            await h.origins.find("c", "", route(timeout)) for h in self.hosts.values()
        ]
        origins = {known and known.origin for known in found}
        assert len(origins) == 1
        return origins.pop()


@pytest.fixture
def play(store, log):
    """Run a scenario with hosts and targets of one version, for long."""

    def run(scenario):
        async def main():
            site = Site(store, log)
            site.release("v1", "v1")
            site.start()
            await asyncio.sleep(LONG_SECONDS)
            return await scenario(site)

        return run_paused(main())

    return run


class TestLossOfAllHosts:
    def test_one_version_all_along(self, play):
        """Guards against refusing all streams for long after a loss of all hosts."""

        async def scenario(site):
            site.lose()
            await asyncio.sleep(2.6)
            site.start()
            await asyncio.sleep(1.0)
            return await site.origin()

        assert play(scenario) == StreamOrigin("chat", "v1")

    @pytest.mark.parametrize("wait", [0.5, 2 * TIMEOUT_SECONDS + 1.0, 20.0])
    def test_targets_replaced_while_hosts_are_away(self, play, wait):
        """Guards against streams of a version that no host has seen since its start."""

        async def scenario(site):
            site.lose()
            await asyncio.sleep(2.6)
            site.release("v2", "v2")
            site.start()
            await asyncio.sleep(wait)
            return await site.origin()

        assert play(scenario) is None

    def test_version_that_left_right_before(self, play):
        async def scenario(site):
            site.release("v2", "v2")
            await asyncio.sleep(2.0)
            site.lose()
            await asyncio.sleep(1.0)
            site.start()
            await asyncio.sleep(10.0)
            early = await site.origin()
            await asyncio.sleep(LONG_SECONDS)
            return early, await site.origin()

        assert play(scenario) == (None, StreamOrigin("chat", "v2"))

    def test_configuration_shortened_the_timeout(self, play):
        """Guards against a history that a shorter time-out makes look complete."""

        async def scenario(site):
            site.lose()
            site.release("v2", "v2")
            site.config = RoutingConfig(2, (route(0.4),))
            site.start()
            await asyncio.sleep(12 * 0.4 + 1.0)
            return await site.origin(0.4)

        assert play(scenario) is None

    def test_lost_twice(self, play):
        """Guards against a second loss that forgets the version before the first."""

        async def scenario(site):
            for _ in range(2):
                site.lose()
                await asyncio.sleep(1.0)
                site.release("v2", "v2")
                site.start()
                await asyncio.sleep(3.0)
            return await site.origin()

        assert play(scenario) is None


class TestRows:
    def test_written_only_as_versions_come_and_go(self, play, store):
        async def scenario(site):
            before = store.rows.version
            await asyncio.sleep(LONG_SECONDS)
            idle = store.rows.version - before
            site.release("v1", "v2")
            await asyncio.sleep(LONG_SECONDS)
            return idle, store.rows.version - before

        assert play(scenario) == (0, 1)

    def test_unreadable_row_tells_nothing(self, play, store):
        """Guards against a row of another writer that ends the task or is believed."""

        async def scenario(site):
            site.lose()
            store.rows.put(TABLE, "chat", b"\xff")
            site.start()
            await asyncio.sleep(10.0)
            return await site.origin(), len(store.rows.range(TABLE, "", "", "~"))

        assert play(scenario) == (None, 1)

    def test_store_that_refuses_the_table(self, play, store):
        """Guards against calls without a pause where the store refuses them."""

        async def scenario(site):
            store.unavailable_tables = {TABLE}
            site.release("v2")
            before = store.n_calls
            await asyncio.sleep(10.0)
            return store.n_calls - before

        assert play(scenario) <= 40

    def test_host_that_missed_changes_reads_them(self, play, store):
        async def scenario(site):
            store.unavailable_tables = {TABLE}
            for host in site.hosts.values():
                host.see()
            early = await site.origin()
            store.unavailable_tables = set()
            await asyncio.sleep(2.0)
            return early, await site.origin()

        assert play(scenario) == (None, StreamOrigin("chat", "v1"))
