"""Turns while the store is away."""

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


class Peers:
    """Calls between the keepers of several hosts."""

    def __init__(self, hosts):
        self._hosts = hosts

    async def call(self, peer, request, seconds):
        await asyncio.sleep(0.002)
        host = self._hosts.get(peer.ip)
        if host is None:
            return None
        match request:
            case KeepCopy():
                return Done(host.turns.memory.keep_copy(request))
            case DropCopies(turns):
                host.turns.memory.drop_copies(turns)
                return Done(True)
            case ReadTurn(turn):
                return FoundTurn(host.turns.in_memory(turn))


class Host:
    """One host: its view of the fleet and its turns."""

    def __init__(self, fleet, ip, store, log):
        self.peer = Peer(ip, 1, ZONES[ip], ip + "-boot")
        self.fleet = Fleet(self.peer, log)
        self.certain = True
        self.cut = False
        self._store = store
        self.turns = TurnKeeper(
            store,
            65_536,
            self.fleet,
            Peers(fleet.hosts),
            fleet.n_copies,
            lambda: not store.down,
            lambda: self.certain,
            RowReaper(store, log),
            log,
        )
        self.tasks = [
            asyncio.create_task(self.turns.memory.run()),
            asyncio.create_task(self.tell(fleet)),
        ]

    async def tell(self, fleet):
        """Send beacons to the other hosts."""
        while True:
            for other in fleet.hosts.values():
                if other is not self and other.cut == self.cut:
                    away = self.turns.memory.away_seconds()
                    other.fleet.record_beacon(self.peer, not self._store.down, away)
            await asyncio.sleep(0.2)


class Hosts:
    """Five hosts in three zones."""

    def __init__(self, store, log, n_copies):
        self.hosts = {}
        self.n_copies = n_copies
        for ip in ZONES:
            self.hosts[ip] = Host(self, ip, store, log)

    def kill(self, ip):
        for task in self.hosts.pop(ip).tasks:
            task.cancel()

    async def read(self, ip):
        """Return the turn as a host knows it, or the status of its refusal."""
        turns = self.hosts[ip].turns
        try:
            return await turns.transcript("r", "c", "t1", KEEP_SECONDS)
        except Refusal as refusal:
            return refusal.status

    async def keep(self, ip):
        return await self.hosts[ip].turns.keep("c", "t1", b"said", KEEP_SECONDS)


@pytest.fixture
def play(store, log):
    def run(scenario, n_copies=2):
        async def main():
            hosts = Hosts(store, log, n_copies)
            await asyncio.sleep(1.0)
            return await scenario(hosts)

        return run_paused(main())

    return run


class TestOutage:
    def test_turn_goes_on_at_any_host(self, play, store):
        """A turn ends while the store is away, and the next one comes elsewhere."""

        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            kept = await hosts.keep("h0")
            return kept, [await hosts.read(ip) for ip in hosts.hosts]

        assert play(scenario) == (True, [b"said"] * 5)

    def test_turn_outlives_the_host_that_answered_it(self, play, store):
        """The host that answered a turn loses power right after its answer.

        The caller has the whole answer; its next turn would be refused as unknown,
        though it did nothing wrong.
        """

        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            assert await hosts.keep("h0")
            hosts.kill("h0")
            before = await hosts.read("h3")
            store.down = False
            await asyncio.sleep(3.0)
            key = turn_key("c", "t1")
            return before, len(store.rows.range("turns", key[:2], key, key + "~"))

        assert play(scenario) == (b"said", 1)

    def test_not_answered_whole_without_its_row_unless_asked_for(self, play, store):
        """All hosts lose power before the store is back.

        A turn that was answered from memory alone is gone then, and its program can't
        go on, though its caller had the whole answer.
        """

        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            return await hosts.keep("h0")

        assert play(scenario, n_copies=0) is False

    def test_not_answered_whole_without_a_copy_in_another_zone(self, play, store):
        """A zone is cut off from the store and from the other zones.

        Its callers may come to the others next, where nobody knows of the turn.
        """

        async def scenario(hosts):
            for ip in ("h0", "h3", "h4"):
                hosts.hosts[ip].cut = True
            store.down = True
            await asyncio.sleep(2.0)
            return await hosts.keep("h0")

        assert play(scenario) is False

    def test_not_kept_in_memory_before_the_others_know(self, play, store):
        """The store has just become unreachable for one host.

        Others still take its silence on the matter for a store that it reaches, and
        would call a turn unknown that lies in its memory.
        """

        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(0.5)
            return await hosts.keep("h0")

        assert play(scenario) is False

    def test_stored_once_when_the_store_is_back(self, play, store):
        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            await hosts.keep("h0")
            store.down = False
            before = store.rows.n_commits
            await asyncio.sleep(5.0)
            waiting = [len(h.turns.memory) for h in hosts.hosts.values()]
            return store.rows.n_commits - before, waiting

        assert play(scenario) == (1, [0] * 5)

    def test_host_that_stops_hands_its_copies_on(self, play, store):
        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            await hosts.keep("h0")
            for ip in ("h0", "h1", "h2"):
                await hosts.hosts[ip].turns.memory.hand_over()
                hosts.kill(ip)
            return await hosts.read("h3")

        assert play(scenario) == b"said"


class TestUnknownTurn:
    def test_is_404_while_all_hosts_have_the_store(self, play):
        async def scenario(hosts):
            return await hosts.read("h0")

        assert play(scenario) == 404

    def test_is_503_after_an_outage(self, play, store):
        """All hosts that had the turn in memory are lost before it is stored.

        Whether there was such a turn isn't known; 404 would end its program.
        """

        async def scenario(hosts):
            store.down = True
            await asyncio.sleep(2.0)
            store.down = False
            await asyncio.sleep(5.0)
            return await hosts.read("h0")

        assert play(scenario) == 503

    def test_is_503_while_a_host_is_silent(self, play):
        async def scenario(hosts):
            hosts.hosts["h2"].cut = True
            await asyncio.sleep(2.0)
            return await hosts.read("h0")

        assert play(scenario) == 503

    def test_is_503_where_another_host_started_after_an_outage(self, play):
        async def scenario(hosts):
            hosts.hosts["h2"].certain = False
            await asyncio.sleep(1.0)
            return await hosts.read("h0")

        assert play(scenario) == 503
