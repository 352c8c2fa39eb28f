"""Saving and reading turns while the store is unreachable."""

import asyncio

import pytest

from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.peers._peer_messages import (
    Done,
    DropCopies,
    FoundTurn,
    KeepCopy,
    ReadTurn,
)
from swifttide_daemon.gateway.store._row_reaper import RowReaper
from swifttide_daemon.gateway.turns._turn_keeper import TurnKeeper, turn_key
from swifttide_standins.paused_clock import run_paused

KEEP_SECONDS = 60.0
ZONES = {"h0": "a", "h1": "b", "h2": "c", "h3": "a", "h4": "a"}


class DirectPeerClient:
    """Test double of the peer client that calls the simulated hosts directly."""

    def __init__(self, hosts):
        self._hosts = hosts

    async def call(self, peer, request, seconds):
        await asyncio.sleep(0.002)
        host = self._hosts.get(peer.ip)
        if host is None:
            return None
        match request:
            case KeepCopy():
                return Done(host.turns.memory.accept_copy(request))
            case DropCopies(turns):
                host.turns.memory.drop_copies(turns)
                return Done(True)
            case ReadTurn(turn):
                return FoundTurn(host.turns.in_memory(turn))


class Host:
    """One simulated host with its view of the fleet and its turns."""

    def __init__(self, fleet, ip, store, log):
        self.peer = Peer(ip, 1, ZONES[ip], ip + "-boot")
        self.fleet = Fleet(self.peer, log)
        self.fleet.keep_only(ZONES)
        self.no_prior_unstored_turns = True
        self.isolated = False
        self._store = store
        self.turns = TurnKeeper(
            store,
            65_536,
            self.fleet,
            DirectPeerClient(fleet.hosts),
            fleet.n_copies,
            lambda: not store.down,
            lambda: self.no_prior_unstored_turns,
            RowReaper(store, log),
            log,
        )
        self.tasks = [
            asyncio.create_task(self.turns.memory.run()),
            asyncio.create_task(self.send_beacons(fleet)),
        ]

    async def send_beacons(self, fleet):
        """Send beacons to the other hosts."""
        while True:
            for other in fleet.hosts.values():
                if other is not self and other.isolated == self.isolated:
                    away = self.turns.memory.seconds_since_outage()
                    other.fleet.record_beacon(self.peer, not self._store.down, away)
            await asyncio.sleep(0.2)


class SimulatedFleet:
    """Five simulated hosts in three zones."""

    def __init__(self, store, log, n_copies):
        self.hosts = {}
        self.n_copies = n_copies
        for ip in ZONES:
            self.hosts[ip] = Host(self, ip, store, log)

    def kill(self, ip):
        for task in self.hosts.pop(ip).tasks:
            task.cancel()

    async def read(self, ip):
        """Return the transcript read at a host, or the status of its refusal."""
        turns = self.hosts[ip].turns
        try:
            return await turns.read_transcript("r", "c", "t1", KEEP_SECONDS)
        except Refusal as refusal:
            return refusal.status

    async def save(self, ip):
        return await self.hosts[ip].turns.save("c", "t1", b"said", KEEP_SECONDS)


@pytest.fixture
def run_scenario(store, log):
    def run(scenario, n_copies=2):
        async def main():
            hosts = SimulatedFleet(store, log, n_copies)
            await asyncio.sleep(1.0)
            return await scenario(hosts)

        return run_paused(main())

    return run


class TestOutage:
    def test_turn_saved_in_outage_is_readable_at_every_host(self, run_scenario, store):
        """A turn ends while the store is down; the next one goes to another host."""

        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            kept = await hosts.save("h0")
            return kept, [await hosts.read(ip) for ip in hosts.hosts]

        assert run_scenario(scenario) == (True, [b"said"] * 5)

    def test_turn_survives_loss_of_the_host_that_served_it(self, run_scenario, store):
        """A host loses power right after the complete response to a turn.

        Without a copy elsewhere, the caller's next turn would be refused because the
        turn before it is unknown.
        """

        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            assert await hosts.save("h0")
            hosts.kill("h0")
            before = await hosts.read("h3")
            store.down = False
            await asyncio.sleep(3.0)
            key = turn_key("c", "t1")
            return before, len(store.rows.range("turns", key[:2], key, key + "~"))

        assert run_scenario(scenario) == (b"said", 1)

    def test_not_saved_without_store_when_no_copies_are_configured(
        self, run_scenario, store
    ):
        """All hosts lose power before the outage ends.

        A turn that was only in memory would be lost and its program couldn't continue,
        although the caller had received the complete response.
        """

        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            return await hosts.save("h0")

        assert run_scenario(scenario, n_copies=0) is False

    def test_not_saved_while_the_zone_is_isolated(self, run_scenario, store):
        """A zone is cut off from the store and from the other zones.

        The next turn of its callers may go to another zone, where no host has a copy.
        """

        async def scenario(hosts):
            for ip in ("h0", "h3", "h4"):
                hosts.hosts[ip].isolated = True
            store.down = True
            await asyncio.sleep(2.0)
            return await hosts.save("h0")

        assert run_scenario(scenario) is False

    def test_not_saved_before_peers_know_of_the_outage(self, run_scenario, store):
        """The store has just become unreachable for one host.

        Until its beacons announce this, other hosts assume that it reaches the store,
        and would report a turn in its memory as unknown.
        """

        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(0.5)
            return await hosts.save("h0")

        assert run_scenario(scenario) is False

    def test_stored_once_after_the_outage(self, run_scenario, store):
        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            await hosts.save("h0")
            store.down = False
            before = store.rows.n_commits
            await asyncio.sleep(5.0)
            waiting = [len(h.turns.memory) for h in hosts.hosts.values()]
            return store.rows.n_commits - before, waiting

        assert run_scenario(scenario) == (1, [0] * 5)

    def test_stopping_host_hands_over_its_copies(self, run_scenario, store):
        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            await hosts.save("h0")
            for ip in ("h0", "h1", "h2"):
                await hosts.hosts[ip].turns.memory.hand_over()
                hosts.kill(ip)
            return await hosts.read("h3")

        assert run_scenario(scenario) == b"said"


class TestUnknownTurn:
    def test_404_while_all_hosts_reach_the_store(self, run_scenario):
        async def scenario(hosts):
            return await hosts.read("h0")

        assert run_scenario(scenario) == 404

    def test_503_after_an_outage(self, run_scenario, store):
        """All hosts that held a turn in memory are lost before it is stored.

        Whether the turn existed can't be determined, and 404 would end its program.
        """

        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            store.down = False
            await asyncio.sleep(5.0)
            return await hosts.read("h0")

        assert run_scenario(scenario) == 503

    def test_503_while_a_host_is_unreachable(self, run_scenario):
        async def scenario(hosts):
            hosts.hosts["h2"].isolated = True
            await asyncio.sleep(2.0)
            return await hosts.read("h0")

        assert run_scenario(scenario) == 503

    def test_503_while_another_host_may_have_had_unstored_turns(self, run_scenario):
        async def scenario(hosts):
            hosts.hosts["h2"].no_prior_unstored_turns = False
            await asyncio.sleep(1.0)
            return await hosts.read("h0")

        assert run_scenario(scenario) == 503
