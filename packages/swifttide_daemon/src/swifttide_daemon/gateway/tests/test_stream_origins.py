"""Origins of streams that are resumed at other hosts, on a paused clock."""

import asyncio

import pytest

from swifttide_core.forwarding import (
    RegionMap,
    RequestKind,
    Route,
    TargetEntry,
    WeightedService,
)
from swifttide_core.resumption import OriginRecords, OriginSource, StreamOrigin
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.peers._peer_messages import FoundVersions, ReadVersions
from swifttide_daemon.gateway.streams._origin_inquiry import N_KEEPERS
from swifttide_daemon.gateway.streams._stream_origins import StreamOrigins
from swifttide_daemon.gateway.tests._hosts import FeedsInStep, InProcessPeerClient
from swifttide_standins.paused_clock import run_paused

V1, V2 = StreamOrigin("chat", "v1"), StreamOrigin("chat", "v2")
REGIONS = RegionMap({"a": "north", "b": "north", "c": "south"})
IPS = [f"10.0.{'abc'.index(zone)}.{n}" for zone in "abc" for n in range(4)]


def zone_of(ip):
    return "abc"[int(ip.split(".")[2])]


def route(*services):
    weighted = tuple(WeightedService(name, 1.0) for name in services or ("chat",))
    return Route("r", "h", "/", RequestKind.STREAMING, weighted, 4.0, 0.2)


def target(id, version):
    return TargetEntry(id, "chat", "10.9.0.1", 80, "a", 12, software_version=version)


class Host:
    """A host that knows of streams, and hears the hosts that are not lost."""

    def __init__(self, ip, hosts, log):
        self.ip = ip
        self.hosts = hosts
        self.beliefs = Beliefs(lambda target_id: None, log, REGIONS)
        self.fleet = Fleet(Peer(ip, 1, zone_of(ip), f"{ip}-boot"), log, REGIONS)
        self.feeds = FeedsInStep()
        self.origins = StreamOrigins(
            self.fleet,
            InProcessPeerClient(lambda: self.hosts),
            self.beliefs,
            self.send,
            self.feeds,
            log,
        )
        self.n_sent = 0

    async def answer(self, request):
        match request:
            case ReadVersions(service, seconds):
                seen = await self.origins.versions_within(service, seconds)
                return FoundVersions(seen)
        return self.origins.answer(request)

    def send(self, ip, message):
        self.n_sent += 1
        if ip in self.hosts:
            self.hosts[ip].origins.handle_message(message)

    def hear(self):
        for ip in IPS:
            if ip != self.ip and ip in self.hosts:
                self.fleet.record_beacon(
                    Peer(ip, 1, zone_of(ip), f"{ip}-boot"), True, pause_seconds=1e6
                )

    def set_targets(self, *versions):
        entries = {f"t{i}": target(f"t{i}", v) for i, v in enumerate(versions)}
        self.beliefs.replace_targets(entries)

    async def find(self, attempt, path=None, homes=None, request=""):
        return await self.origins.find("c", attempt, path or route(), homes, request)

    def record(self, attempt, origin, homes=None, request=""):
        self.origins.record("c", attempt, origin, route(), homes, request)


@pytest.fixture
def play(log):
    """Run a scenario with a fleet of hosts in three zones; two versions serve."""

    def run(scenario):
        async def main():
            hosts = {}
            hosts.update({ip: Host(ip, hosts, log) for ip in IPS})
            for host in hosts.values():
                host.hear()
                host.set_targets("v1", "v2")
            return await scenario(hosts)

        return run_paused(main())

    return run


class TestRecords:
    def test_any_host_knows_a_stream_of_a_lost_host(self, play):
        """Guards against streams that only the host that began them could resume."""

        async def scenario(hosts):
            for n in range(40):
                hosts[IPS[0]].record(f"s{n}", V1 if n % 2 else V2)
            del hosts[IPS[0]]
            return [
                (await hosts[IPS[1 + n % 11]].find(f"s{n}")).origin for n in range(40)
            ]

        found = play(scenario)
        assert found == [V1 if n % 2 else V2 for n in range(40)]

    def test_loss_of_a_host_in_each_zone(self, play):
        """Guards against the loss of all hosts that know a stream."""

        async def scenario(hosts):
            for n in range(200):
                hosts[IPS[0]].record(f"s{n}", V1)
            for ip in (IPS[0], IPS[4], IPS[8]):
                del hosts[ip]
            return [await hosts[IPS[1]].find(f"s{n}") for n in range(200)]

        found = play(scenario)
        assert sum(known is not None for known in found) > 190
        assert {known.origin for known in found if known} == {V1}

    def test_loss_of_most_hosts(self, play):
        """Guards against streams that few of the hosts that are left can resume."""

        async def scenario(hosts):
            for n in range(100):
                hosts[IPS[0]].record(f"s{n}", V2)
            for ip in IPS[:2] + IPS[3:6] + IPS[7:10] + IPS[11:]:
                del hosts[ip]
            return [await hosts[IPS[2]].find(f"s{n}") for n in range(100)]

        found = play(scenario)
        assert sum(known is not None for known in found) > 95
        assert {known.origin for known in found if known} == {V2}

    @pytest.mark.parametrize("left", ["ab", "ac", "bc", "a", "b", "c"])
    def test_zones_that_are_cut_off(self, play, left):
        """Guards against streams that a zone by itself doesn't know."""

        async def scenario(hosts):
            hosts[IPS[0]].record("s", V2)
            for ip in [ip for ip in hosts if zone_of(ip) not in left]:
                del hosts[ip]
            return [await host.find("s") for host in hosts.values()]

        assert {known.origin for known in play(scenario)} == {V2}

    def test_source_is_told(self, play):
        async def scenario(hosts):
            hosts[IPS[0]].record("s", V2)
            other = next(h for h in hosts.values() if not len(h.origins._records))
            return await hosts[IPS[0]].find("s"), await other.find("s")

        own, peers = play(scenario)
        assert own.source is OriginSource.OWN_RECORD
        assert peers.source is OriginSource.PEER_RECORD

    def test_streams_of_two_customers_with_one_id(self, play):
        """Guards against a customer that goes on with a stream of another one."""

        async def scenario(hosts):
            hosts[IPS[0]].record("s", V2)
            return await hosts[IPS[0]].origins.find("other", "s", route())

        assert play(scenario) is None

    def test_record_outlives_its_first_attempt(self, play):
        async def scenario(hosts):
            hosts[IPS[0]].record("s", V2)
            await asyncio.sleep(7.9)
            return await hosts[IPS[5]].find("s")

        assert play(scenario).origin == V2

    def test_few_hosts_are_told(self, play):
        async def scenario(hosts):
            hosts[IPS[0]].record("s", V1)
            return hosts[IPS[0]].n_sent

        assert play(scenario) <= N_KEEPERS

    def test_hosts_outside_its_regions_are_not_told(self, play):
        """Guards against a stream that is known outside the regions it is bound to."""

        async def scenario(hosts):
            south = frozenset({"south"})
            for n in range(20):
                hosts[IPS[8]].record(f"s{n}", V1, south)
            told = {ip for ip, host in hosts.items() if len(host.origins._records)}
            return told, await hosts[IPS[9]].find("s3", homes=south)

        told, found = play(scenario)
        assert {zone_of(ip) for ip in told} == {"c"}
        assert found.origin == V1


class TestUnknownStreams:
    def test_two_versions(self, play):
        """Guards against a guess where a stream may have begun at either version."""

        async def scenario(hosts):
            await asyncio.sleep(60.0)
            return [await hosts[IPS[0]].find(attempt) for attempt in ("never", "")]

        assert play(scenario) == [None, None]

    def test_only_version_for_long(self, play):
        """Guards against refusals where all targets have had one version."""

        async def scenario(hosts):
            for host in hosts.values():
                host.set_targets("v1", "v1")
            await asyncio.sleep(60.0)
            return [await hosts[IPS[0]].find(attempt) for attempt in ("lost", "")]

        for known in play(scenario):
            assert known.origin == V1
            assert known.source is OriginSource.VERSION_HISTORY

    def test_host_that_has_just_started_asks_others(self, play):
        async def scenario(hosts):
            for host in hosts.values():
                host.set_targets("v1")
            await asyncio.sleep(60.0)
            started = hosts[IPS[0]]
            started.set_targets("v1")
            return await started.find("")

        assert play(scenario).origin == V1

    def test_version_that_only_another_host_has_seen(self, play):
        """Guards against a host whose list of targets is late."""

        async def scenario(hosts):
            hosts[IPS[0]].set_targets("v1")
            await asyncio.sleep(60.0)
            return await hosts[IPS[0]].find("lost")

        assert play(scenario) is None

    def test_all_hosts_have_just_started(self, play):
        """Guards against a guess after the loss of all hosts in a release."""

        async def scenario(hosts):
            for host in hosts.values():
                host.set_targets("v2")
            await asyncio.sleep(4.0)
            return await hosts[IPS[0]].find("lost")

        assert play(scenario) is None

    def test_store_that_is_away(self, play):
        """Guards against a guess while targets of another version may have started."""

        async def scenario(hosts):
            for host in hosts.values():
                host.set_targets("v1")
            await asyncio.sleep(60.0)
            for host in hosts.values():
                host.beliefs.store_lost()
            return await hosts[IPS[0]].find("lost")

        assert play(scenario) is None

    def test_route_with_two_services(self, play):
        """Guards against a stream that goes on at another service of its route."""

        async def scenario(hosts):
            for host in hosts.values():
                host.set_targets("v1")
            await asyncio.sleep(60.0)
            path = route("chat", "other")
            hosts[IPS[0]].record("s", StreamOrigin("other", "v1"))
            return [await hosts[IPS[1]].find(attempt, path) for attempt in ("s", "")]

        known, unknown = play(scenario)
        assert known.origin == StreamOrigin("other", "v1")
        assert unknown is None


class TestHostOutOfStep:
    """One host has stood still, or is cut off from the others."""

    @pytest.fixture
    def play_alone(self, play):
        """Run a scenario with the only host that answers, and one version for long."""

        def run(scenario):
            async def main(hosts):
                for host in hosts.values():
                    host.set_targets("v1", "v1")
                await asyncio.sleep(60.0)
                host = hosts[IPS[0]]
                hosts.clear()
                hosts[host.ip] = host
                return await scenario(host)

            return play(main)

        return run

    @pytest.mark.parametrize("attempt", ["lost", ""])
    def test_version_that_joined_unheard(self, play_alone, attempt):
        """Guards against taking what a host hasn't heard of for what isn't there."""

        async def scenario(host):
            def hear_of_v2():
                host.beliefs.put_target(target("new", "v2"))
                host.beliefs.remove_target("new")

            host.feeds.on_confirm = hear_of_v2
            return await host.find(attempt)

        assert play_alone(scenario) is None

    def test_version_that_came_and_went_unheard(self, play_alone):
        """Guards against a version of which a host hears only that its target left."""

        async def scenario(host):
            host.feeds.on_confirm = host.beliefs.forget_unseen_target
            return await host.find("lost")

        assert play_alone(scenario) is None

    def test_store_that_does_not_answer(self, play_alone):
        """Guards against a history that nobody can confirm."""

        async def scenario(host):
            host.feeds.is_confirmed = False
            return await host.find("lost")

        assert play_alone(scenario) is None

    def test_one_version_all_along(self, play_alone):
        """Guards against refusing streams of the only version at such a host."""

        async def scenario(host):
            return await host.find("lost")

        known = play_alone(scenario)
        assert (known.origin, known.source) == (V1, OriginSource.VERSION_HISTORY)

    def test_request_that_was_answered_elsewhere_too(self, play):
        """Guards against one record of a request that most keepers can't confirm."""

        async def scenario(hosts):
            host = hosts[IPS[0]]
            host.record("a1", V1, request="r")
            known = await host.find("", request="r")
            for ip in IPS[1:]:
                del hosts[ip]
            return known, await host.find("", request="r")

        known, alone = play(scenario)
        assert (known.origin, known.source) == (V1, OriginSource.REQUEST_RECORD)
        assert alone is None

    def test_history_of_another_host_out_of_step(self, play):
        """Guards against a host that has just started and believes one out of step."""

        async def scenario(hosts):
            for host in hosts.values():
                host.set_targets("v1")
                host.feeds.is_confirmed = False
            await asyncio.sleep(60.0)
            started = hosts[IPS[0]]
            started.feeds.is_confirmed = True
            started.set_targets("v1")
            return await started.find("")

        assert play(scenario) is None

    def test_records_of_hosts_that_look_lost(self, play):
        """Guards against asking nobody after a standstill, as no host is heard."""

        async def scenario(hosts):
            stalled = hosts[IPS[0]]
            for host in hosts.values():
                for ip in IPS:
                    peer = Peer(ip, 1, zone_of(ip), f"{ip}-boot")
                    if ip != host.ip:
                        host.fleet.record_beacon(peer, True, pause_seconds=1.0)
            hosts[IPS[1]].record("s", V2)
            await asyncio.sleep(6.0)
            stalled.origins._records = OriginRecords()
            return len(stalled.fleet.alive()), await stalled.find("s")

        n_heard, known = play(scenario)
        assert n_heard == 0
        assert (known.origin, known.source) == (V2, OriginSource.PEER_RECORD)
