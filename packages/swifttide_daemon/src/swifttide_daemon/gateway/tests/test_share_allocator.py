"""Tests of the allocation of shares as hosts start, stop and are partitioned."""

import asyncio
import functools
import json
import random

import pytest

from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.rates._share_allocator import (
    KEY,
    MAX_HOLDERS,
    ShareAllocator,
)
from swifttide_daemon.gateway.store._shared_store import RowKey, StoredRow, Unavailable
from swifttide_standins.paused_clock import run_paused
from swifttide_standins.print_office import MemoryRows


class FakeRateLimiter:
    """Stand-in for the rate limiter that stores the share in use at a host."""

    def __init__(self):
        self.share = 0.0


class Hosts:
    """Share allocators of several hosts that read one row of shares."""

    def __init__(self, store, log):
        self.store, self.log = store, log
        self.rates = {}
        self.fleets = {}
        self.allocators = {}
        self.tasks = {}
        self.max_total_share = 0.0

    def start(self, ip):
        rates = self.rates[ip] = FakeRateLimiter()
        fleet = self.fleets[ip] = Fleet(peer(ip), self.log)
        fleet.all = lambda: [peer(other) for other in self.rates if other != ip]
        fleet.alive = fleet.all
        fleet.was_heard_within = lambda ip, seconds: True
        allocator = ShareAllocator(self.store, fleet, rates, self.log)
        self.allocators[ip] = allocator
        self.tasks[ip] = (
            asyncio.create_task(allocator.run()),
            asyncio.create_task(self.follow(allocator, self.store)),
        )

    def kill(self, ip):
        for task in self.tasks.pop(ip):
            task.cancel()
        del self.rates[ip]

    async def follow(self, allocator, store):
        """Pass on the row of shares at intervals, as a watch of the store does."""
        while True:
            for place, row in store.rows.range("fleet", "", KEY, KEY + "\0"):
                allocator.apply_row(StoredRow(RowKey(*place), row.value, row.version))
            await asyncio.sleep(0.1)

    async def run(self, seconds):
        """Let time pass and record the largest total share in use."""
        for _ in range(int(seconds / 0.05)):
            await asyncio.sleep(0.05)
            self.max_total_share = max(
                self.max_total_share, sum(r.share for r in self.rates.values())
            )


def peer(ip):
    """Return a host, in one of three zones by its number."""
    return Peer(ip, 1, f"zone-{int(ip[1:]) % 3}", "boot")


class SerializedStore:
    """A store that commits the transactions of one partition one by one.

    Attributes
    ----------
    n_commits, n_throttled : int
    """

    TRANSACTION_SECONDS = 0.005
    MAX_QUEUE_SECONDS = 1.0

    def __init__(self, store):
        self._store = store
        self.rows = store.rows
        self._free_at = 0.0
        self.n_commits = 0
        self.n_throttled = 0

    async def read(self, *args):
        return await self._store.read(*args)

    async def commit(self, tx):
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at)
        if self._free_at - now > self.MAX_QUEUE_SECONDS:
            self.n_throttled += 1
            return Unavailable("status 429", throttled=True)
        self.n_commits += 1
        self._free_at += self.TRANSACTION_SECONDS
        await asyncio.sleep(self._free_at - now)
        return await self._store.commit(tx)


class TestManyHosts:
    def test_all_shares_are_allocated_soon_after_a_fleet_starts(self, store, log):
        """Guards against write conflicts of 195 hosts that delay the allocation."""

        async def main():
            narrow = SerializedStore(store)
            hosts = Hosts(narrow, log)
            for i in range(195):
                hosts.start(f"h{i}")
            await hosts.run(4.0)
            total = sum(r.share for r in hosts.rates.values())
            n_start = narrow.n_commits
            await hosts.run(40.0)
            return total, hosts.max_total_share, narrow, n_start

        total, most, narrow, n_start = run_paused(main())
        assert total == pytest.approx(1.0)
        assert most <= 1.000001
        assert narrow.n_throttled == 0
        # Each holder renews twice in 40 s.
        assert narrow.n_commits - n_start <= 3 * MAX_HOLDERS

    def test_host_stops_using_an_expired_share(self, store, log, monkeypatch):
        """Guards against two users of one share after a long partition of a host."""
        monkeypatch.setattr(ShareAllocator, "_plan_slots", lambda *_: frozenset())

        async def main():
            hosts = Hosts(store, log)
            for i in range(60):
                hosts.start(f"h{i}")
            await hosts.run(6.0)
            holder = next(ip for ip, r in hosts.rates.items() if r.share)
            share = hosts.rates[holder].share
            hosts.kill(holder)
            await hosts.run(70.0)
            hosts.start(holder)
            hosts.rates[holder].share = share
            await hosts.run(3.0)
            return sum(r.share for r in hosts.rates.values())

        assert run_paused(main()) == pytest.approx(1.0)

    def test_next_candidate_takes_the_share_of_a_lost_host(self, store, log):
        async def main():
            hosts = Hosts(store, log)
            for i in range(60):
                hosts.start(f"h{i}")
            await hosts.run(6.0)
            holder = next(ip for ip, r in hosts.rates.items() if r.share)
            hosts.kill(holder)
            await hosts.run(70.0)
            return sum(r.share for r in hosts.rates.values()), hosts.max_total_share

        total, most = run_paused(main())
        assert total == pytest.approx(1.0)
        assert most <= 1.000001


class TestShares:
    def test_only_some_hosts_of_a_large_fleet_hold_shares(self, store, log):
        """Guards against transfers of tokens from every host to every other one.

        Only some of 69 hosts hold shares, the same number in each zone, so that a
        partitioned zone continues with its part of the rates.
        """

        async def main():
            hosts = Hosts(store, log)
            for i in range(69):
                hosts.start(f"h{i}")
            await hosts.run(20.0)
            shares = {ip: r.share for ip, r in hosts.rates.items() if r.share}
            zones = [peer(ip).zone for ip in shares]
            return shares, {zones.count(z) for z in set(zones)}, hosts.max_total_share

        shares, by_zone, most = run_paused(main())
        assert len(shares) == MAX_HOLDERS
        assert by_zone == {MAX_HOLDERS // 3}
        assert sum(shares.values()) == pytest.approx(1.0)
        assert most <= 1.000001

    def test_hosts_that_start_together_share_evenly(self, store, log):
        async def main():
            hosts = Hosts(store, log)
            for i in range(8):
                hosts.start(f"h{i}")
            await hosts.run(8.0)
            return [
                round(r.share, 6) for r in hosts.rates.values()
            ], hosts.max_total_share

        shares, most = run_paused(main())
        assert shares == [0.125] * 8
        assert most <= 1.000001

    def test_restarted_host_resumes_its_share_immediately(self, store, log):
        async def main():
            hosts = Hosts(store, log)
            for i in range(4):
                hosts.start(f"h{i}")
            await hosts.run(6.0)
            hosts.kill("h2")
            hosts.start("h2")
            await hosts.run(0.2)
            return hosts.rates["h2"].share

        assert run_paused(main()) == pytest.approx(0.25)

    def test_share_of_a_lost_host_is_reallocated(self, store, log):
        async def main():
            hosts = Hosts(store, log)
            for i in range(4):
                hosts.start(f"h{i}")
            await hosts.run(6.0)
            hosts.kill("h2")
            await hosts.run(90.0)
            return sum(r.share for r in hosts.rates.values())

        assert run_paused(main()) == pytest.approx(1.0)

    def test_released_slot_is_not_used_after_a_lost_answer(self, store, log):
        """Guards against two users of one slot after a lost answer of the store.

        A host releases slots and the answer to its write is lost. The write may take
        effect at any time, and another host may then acquire the slots.
        """

        async def main():
            allocator = ShareAllocator(
                store, Fleet(peer("h0"), log), FakeRateLimiter(), log
            )
            task = asyncio.create_task(allocator.run())
            await asyncio.sleep(1.0)
            before = allocator.slots
            store.delay = True
            row = store.rows.range("fleet", "", KEY, KEY + "\0")[0][1]
            entries = json.loads(row.value)
            entries["h1"] = [0.0, store.now_ms, []]
            store.rows.put("fleet", KEY, json.dumps(entries).encode())
            place, row = store.rows.range("fleet", "", KEY, KEY + "\0")[0]
            allocator.apply_row(StoredRow(RowKey(*place), row.value, row.version))
            await asyncio.sleep(2.0)
            task.cancel()
            return before, allocator.slots

        before, after = run_paused(main())
        assert (len(before), len(after)) == (64, 32)

    @pytest.mark.parametrize("seed", range(10))
    def test_total_share_never_exceeds_one(self, store, log, seed):
        """Hosts are killed and started while the store fails in several ways."""
        rng = random.Random(seed)

        async def main():
            hosts = Hosts(store, log)
            for i in range(5):
                hosts.start(f"h{i}")
            for _ in range(60):
                store.down = rng.random() < 0.2
                store.delay = rng.random() < 0.1
                store.n_lost_answers = int(rng.random() < 0.2)
                if rng.random() < 0.2:
                    store.deliver_late()
                ip = f"h{rng.randrange(8)}"
                if ip in hosts.tasks and rng.random() < 0.3:
                    hosts.kill(ip)
                elif ip not in hosts.tasks:
                    hosts.start(ip)
                await hosts.run(rng.uniform(0.1, 3.0))
            return hosts.max_total_share

        assert run_paused(main()) <= 1.000001


class TestForeignRow:
    @pytest.mark.parametrize(
        "value",
        [
            b"[" * 2000,
            b'{"x": [0.5, ' + b"9" * 400 + b", []]}",
            b'{"x": [-7.0, 1, []]}',
            b'{"x": [0.5, 1, [-1]]}',
        ],
    )
    def test_unusable_row_is_written_anew(self, store, log, value):
        """Guards against the end of the task, and against shares beyond one."""

        async def main():
            hosts = Hosts(store, log)
            for n in range(3):
                hosts.start(f"h{n}")
            await hosts.run(5.0)
            store.rows.put("fleet", "shares", value)
            await hosts.run(30.0)
            return [r.share for r in hosts.rates.values()], hosts.max_total_share

        shares, most = run_paused(main())
        assert sum(shares) == pytest.approx(1.0)
        assert most <= 1.0 + 1e-6


class CutStore:
    """The store as seen by a host that may be cut off from it."""

    def __init__(self, store):
        self._store = store
        self.is_cut = False

    @property
    def rows(self):
        return MemoryRows() if self.is_cut else self._store.rows

    async def commit(self, tx):
        return Unavailable("cut") if self.is_cut else await self._store.commit(tx)

    async def read(self, *args):
        return Unavailable("cut") if self.is_cut else await self._store.read(*args)


class TestHostOutOfTouch:
    """A host can't renew its entry for longer than the entry lasts."""

    @pytest.fixture
    def play(self, store, log):
        """Return the shares in use, 70 s after a host of four could last renew.

        Parameters
        ----------
        others_reach : bool
            Whether the other hosts reach the store.
        are_heard : bool
            Whether it hears the other hosts.
        """

        def run(others_reach, are_heard):
            async def main():
                hosts = Hosts(store, log)
                cut = CutStore(store)
                for i in range(4):
                    hosts.store = cut if i == 0 else store
                    hosts.start(f"h{i}")
                await hosts.run(10.0)
                fleet = hosts.fleets["h0"]
                cut.is_cut = True
                store.down = not others_reach
                if not are_heard:
                    fleet.alive = list
                    for i in range(1, 4):
                        other = hosts.fleets[f"h{i}"]
                        heard = [peer(f"h{j}") for j in range(1, 4) if j != i]
                        other.alive = heard.copy
                fleet.peers_reaching_store = fleet.all if others_reach else list
                await hosts.run(70.0)
                return [round(r.share, 2) for r in hosts.rates.values()]

            return run_paused(main())

        return run

    def test_share_that_others_have_taken(self, play):
        """Guards against two users of one share while a host is cut off for long."""
        own, *others = play(others_reach=True, are_heard=False)
        assert sum(others) + own <= 1.0

    def test_share_after_it(self, store, log):
        """Guards against a host that gets no share any more."""

        async def main():
            hosts = Hosts(store, log)
            cut = hosts.store = CutStore(store)
            hosts.start("h0")
            hosts.store = store
            hosts.start("h1")
            await hosts.run(10.0)
            hosts.fleets["h0"].alive = hosts.fleets["h1"].alive = list
            cut.is_cut = True
            await hosts.run(70.0)
            during = [r.share for r in hosts.rates.values()]
            for fleet in hosts.fleets.values():
                fleet.alive = fleet.all
            cut.is_cut = False
            await hosts.run(5.0)
            return during, [r.share for r in hosts.rates.values()]

        during, after = run_paused(main())
        assert during[0] == 0.0
        assert after == [0.5, 0.5]

    def test_share_that_others_may_have_taken(self, play):
        own, *_ = play(others_reach=False, are_heard=False)
        assert own == 0.0

    def test_store_is_away_and_a_host_was_lost_long_before(self, store, log):
        """Guards against refusals of all requests for a host that is long gone."""

        async def main():
            hosts = Hosts(store, log)
            for i in range(3):
                hosts.start(f"h{i}")
            await hosts.run(10.0)
            store.down = True
            for fleet in hosts.fleets.values():
                fleet.peers_reaching_store = list
                fleet.all = functools.partial(list, [*fleet.all(), peer("h9")])
                fleet.was_heard_within = lambda ip, seconds: ip != "h9"
            await hosts.run(70.0)
            return [round(r.share, 2) for r in hosts.rates.values()]

        assert run_paused(main()) == [0.33, 0.33, 0.33]

    def test_store_that_is_away_for_all(self, play):
        """Guards against refusals of all requests in an outage of the store: nobody
        can have taken the share.
        """
        assert play(others_reach=False, are_heard=True) == [0.25] * 4

    def test_machine_that_was_suspended(self, store, log, suspend):
        """Guards against a share and slots that look valid as the machine resumes."""

        async def main():
            hosts = Hosts(store, log)
            cut = hosts.store = CutStore(store)
            hosts.start("h0")
            await hosts.run(10.0)
            hosts.fleets["h0"].all = lambda: [peer("h1")]
            hosts.fleets["h0"].alive = list
            cut.is_cut = True
            allocator = hosts.allocators["h0"]
            before = hosts.rates["h0"].share, bool(allocator.slots)
            suspend(70.0)
            await hosts.run(2.0)
            return before, (hosts.rates["h0"].share, bool(allocator.slots))

        assert run_paused(main()) == ((1.0, True), (0.0, False))
