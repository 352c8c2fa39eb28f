"""Hosts that are heard, as this host stands still or has just started."""

import asyncio

import pytest

from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_standins.paused_clock import run_paused

OWN, PEER = Peer("h0", 1, "a", "b0"), Peer("h1", 1, "b", "b1")
KEEP_SECONDS = 60.0


@pytest.fixture
def play(log):
    """Run a scenario at a host that has read the list of hosts and hears the other."""

    def run(scenario):
        async def main():
            fleet = Fleet(OWN, log)
            fleet.keep_only([])
            fleet.record_beacon(PEER, True)
            return await scenario(fleet)

        return run_paused(main())

    return run


class TestSuspendedMachine:
    """Guards against beacons that count as recent after the machine was suspended."""

    def test_others_are_not_heard(self, play, suspend):
        async def scenario(fleet):
            before = fleet.is_heard(PEER.ip), fleet.is_partitioned()
            suspend(6.0)
            return before, (fleet.is_heard(PEER.ip), fleet.is_partitioned())

        assert play(scenario) == ((True, False), (False, True))

    def test_outage_that_it_has_not_heard_of(self, play, suspend):
        async def scenario(fleet):
            before = fleet.any_store_outage_within(KEEP_SECONDS)
            suspend(6.0)
            after = fleet.any_store_outage_within(KEEP_SECONDS)
            fleet.record_beacon(PEER, True)
            return before, after, fleet.any_store_outage_within(KEEP_SECONDS)

        assert play(scenario) == (False, True, False)

    def test_fraction_of_heard_hosts(self, play, suspend):
        async def scenario(fleet):
            before = fleet.heard_fraction()
            suspend(6.0)
            return before, fleet.heard_fraction()

        assert play(scenario) == (1.0, 0.5)


class TestStart:
    def test_list_of_hosts_that_is_not_read_yet(self, log):
        """Guards against hosts not heard of that count as hosts that don't exist."""

        async def main():
            fleet = Fleet(OWN, log)
            before = fleet.any_store_outage_within(KEEP_SECONDS)
            fleet.keep_only([])
            await asyncio.sleep(0.1)
            return before, fleet.any_store_outage_within(KEEP_SECONDS)

        assert run_paused(main()) == (True, False)
