"""Decisions that rest on what a host hasn't heard, at a host out of touch."""

import asyncio

import pytest

from swifttide_core.resumption import OriginSource
from swifttide_daemon.gateway.peers._fleet import FLEET_TABLE, HOST_KEY_PREFIX
from swifttide_daemon.gateway.peers._host_row import encode_host
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.store._shared_store import RowKey, StoredRow
from swifttide_daemon.gateway.tests import test_stream_origins as streams
from swifttide_daemon.gateway.tests import test_turn_events as turns
from swifttide_daemon.gateway.tests.test_stream_origins import IPS, V1, V2, zone_of
from swifttide_daemon.gateway.tests.test_table_watch import RecordingWatch
from swifttide_standins.paused_clock import run_paused


@pytest.fixture
def play(log):
    """Run a scenario with hosts that know each other and have heard nobody yet."""

    def run(make_host, scenario):
        async def main():
            hosts = {}
            hosts.update({ip: make_host(ip, hosts, log) for ip in IPS})
            for host in hosts.values():
                for ip in IPS:
                    place = RowKey(FLEET_TABLE, "", HOST_KEY_PREFIX + ip)
                    peer = Peer(ip, 1, zone_of(ip), f"{ip}-boot")
                    host.fleet.take_row(StoredRow(place, encode_host(peer), 1))
            return await scenario(hosts)

        return run_paused(main())

    return run


def hear(hosts):
    for host in hosts.values():
        host.hear()


class TestStreams:
    @pytest.mark.parametrize("is_heard", [True, False])
    def test_request_that_two_versions_answered(self, play, is_heard):
        """Guards against a host's own record of a request that counts as the only one,
        as it has heard no other host since its start.
        """

        async def scenario(hosts):
            first, other, *_ = hosts.values()
            for host in hosts.values():
                host.set_targets("v1", "v2")
            if is_heard:
                hear(hosts)
            first.record("s1", V1, request="asked")
            other.record("s2", V2, request="asked")
            return await first.find("", request="asked")

        assert play(streams.Host, scenario) is None

    @pytest.mark.parametrize("attempt", ["s2", ""])
    def test_stream_that_no_keeper_was_told_of(self, play, attempt):
        """Guards against the record of an earlier attempt that decides, as the host
        that began the stream was cut off from its keepers.
        """

        async def scenario(hosts):
            hear(hosts)
            first, other, *_ = hosts.values()
            for host in hosts.values():
                host.set_targets("v1", "v2")
            first.record("s1", V1, request="asked")
            all_hosts = dict(hosts)
            hosts.clear()
            other.record("s2", V2, request="asked")
            hosts.update(all_hosts)
            del hosts[other.ip]
            return await first.find(attempt, request="asked")

        assert play(streams.Host, scenario) is None

    def test_request_that_one_version_answered(self, play):
        async def scenario(hosts):
            hear(hosts)
            first, other, *_ = hosts.values()
            for host in hosts.values():
                host.set_targets("v1", "v2")
            first.record("s1", V1, request="asked")
            return await other.find("", request="asked")

        assert play(streams.Host, scenario).source is OriginSource.REQUEST_RECORD


class TestListOfTargets:
    @pytest.mark.parametrize("is_forgotten", [False, True])
    def test_changes_that_the_store_has_forgotten(self, store, log, is_forgotten):
        """Guards against an old list at a host that stood still for longer than the
        store keeps changes, although the store answers.
        """

        async def main():
            store.rows.put("t", "a", b"1")
            seen = RecordingWatch(store, log, pause_seconds=50.0)
            task = asyncio.create_task(seen.watch.run())
            await asyncio.sleep(2.5)
            store.rows.put("t", "b", b"2")
            if is_forgotten:
                store.rows.first_known = store.rows.version
            is_refreshed = await seen.watch.refresh()
            task.cancel()
            return is_refreshed, seen.rows

        assert run_paused(main()) == (True, {"a": b"1", "b": b"2"})


class TestTurns:
    """A caller sent a turn twice, names no attempt, and has what the second one got."""

    @pytest.fixture
    def play_twice(self, play):
        """Return what a host finds that relayed the first attempt only."""

        def run(is_cut_off):
            async def scenario(hosts):
                hear(hosts)
                first, second, *_ = hosts.values()
                others = {ip: host for ip, host in hosts.items() if host is not first}
                first.relay(turns.request("a1"), turns.EVENTS)
                if is_cut_off:
                    del hosts[first.fleet.own.ip]
                second.relay(turns.request("a2"), turns.EVENTS[:1] + OTHER_EVENTS)
                hosts.clear()
                hosts.update({first.fleet.own.ip: first} if is_cut_off else others)
                await asyncio.sleep(1.0)
                return await first.find(turns.request("a3", last=3))

            return play(turns.Host, scenario)

        return run

    @pytest.mark.parametrize("is_cut_off", [False, True])
    def test_answers_that_differ(self, play_twice, is_cut_off):
        """Guards against a turn that goes on with what another attempt got, as a host
        is cut off from those that know more.
        """
        assert play_twice(is_cut_off) is None


OTHER_EVENTS = tuple(turns.TurnEvent(n, b"other%d" % n) for n in range(2, 7))
