"""Tests of the selection of beacon recipients and of the timeouts of beacons."""

import asyncio

import pytest

from swifttide_daemon.gateway.peers._beacon_rounds import (
    OTHER_ZONE_PEERS_PER_ROUND,
    OWN_ZONE_PEERS_PER_ROUND,
    beacon_groups,
)
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_standins.paused_clock import run_paused


def peers(n_hosts):
    return [Peer(f"10.0.0.{i}", 1, f"zone-{i % 3}", "b") for i in range(n_hosts)]


class TestBeaconGroups:
    def test_small_fleet_sends_to_all_hosts_in_each_round(self):
        for number in range(5):
            groups = beacon_groups(peers(11), "zone-0", number, False)
            assert sum(len(g.peers) for g in groups) == 11
            assert {g.pause_seconds for g in groups} == {0.2}

    @pytest.mark.parametrize("n_hosts", [69, 300])
    def test_large_fleet_rotates_recipients_within_the_limits(self, n_hosts):
        """Guards against quadratic beacon traffic.

        If each of hundreds of hosts sent to all others in every round, the hosts would
        spend most of their processor time on beacons.
        """
        # By IP address, the number of the last round in which the peer got a beacon.
        told = {}
        for number in range(60):
            groups = beacon_groups(peers(n_hosts), "zone-0", number, False)
            at_once = sum(len(g.peers) for g in groups)
            assert at_once <= 1.6 * (
                OWN_ZONE_PEERS_PER_ROUND + OTHER_ZONE_PEERS_PER_ROUND
            )
            for group in groups:
                n_turns = round(group.pause_seconds / 0.2)
                for peer in group.peers:
                    assert number - told.get(peer.ip, number - n_turns) == n_turns
                    told[peer.ip] = number
        assert len(told) == n_hosts

    def test_holder_of_rate_shares_sends_to_all_hosts_in_each_round(self):
        groups = beacon_groups(peers(69), "zone-0", 1, True)
        assert [len(g.peers) for g in groups] == [69]


class TestBeaconTimeouts:
    def test_zone_times_out_before_its_hosts(self, log):
        """Guards against late detection of a network partition.

        Hosts of other zones get beacons in rotation, each about once a second. A
        partition must be detected sooner than that, because callers wait meanwhile.
        """

        async def main():
            fleet = Fleet(Peer("10.0.0.0", 1, "zone-0", "b"), log)
            for peer in peers(6)[1:]:
                fleet.record_beacon(peer, True, pause_seconds=0.6)
            await asyncio.sleep(0.8)
            is_alone, n_alive = fleet.is_partitioned(), len(fleet.alive())
            await asyncio.sleep(1.4)
            return is_alone, n_alive, len(fleet.alive())

        assert run_paused(main()) == (True, 5, 0)
