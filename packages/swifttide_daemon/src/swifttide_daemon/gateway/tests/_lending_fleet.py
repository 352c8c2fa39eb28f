"""Simulated fleet of hosts that grant and lend token budgets, on an in-memory store."""

import asyncio
import random

from swifttide_daemon.gateway.budgets._account_rows import program_key
from swifttide_daemon.gateway.budgets._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway.budgets._lending_record import LendingRecord
from swifttide_daemon.gateway.budgets._token_lender import TokenLender
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.peers._fleet import Fleet as HeardHosts
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.rates._share_allocator import KEY, ShareAllocator
from swifttide_daemon.gateway.store._row_reaper import RowReaper
from swifttide_daemon.gateway.store._shared_store import RowKey, StoredRow, Unavailable
from swifttide_daemon.gateway.tests._hosts import InProcessPeerClient, make_peer_service
from swifttide_standins.paused_clock import run_paused

MAX_TURN_TOKENS = 30
CUSTOMER, PROGRAM = "c", "p"
PROGRAM_KEY = program_key(CUSTOMER, PROGRAM)


class StubRates:
    """Replaces the rate limiter: only stores the rate share of the host."""

    def __init__(self):
        self.share = 0.0


class PartitionableStore:
    """The shared store as seen by one host, which can be cut off from it."""

    def __init__(self, store):
        self._store = store
        self.cut = False

    @property
    def reachable(self):
        return not (self.cut or self._store.down)

    async def commit(self, tx):
        if self.cut:
            return Unavailable("cut off")
        return await self._store.commit(tx)

    async def read(self, *args):
        if self.cut:
            return Unavailable("cut off")
        return await self._store.read(*args)


class Host:
    """One host, with the components that token budgets depend on."""

    def __init__(self, fleet, ip):
        self.fleet, self.ip = fleet, ip
        self.store = PartitionableStore(fleet.store)
        log = fleet.log
        self.record = LendingRecord(
            self.store,
            ip,
            lambda: self.store.reachable,
            lambda: self.lender,
            lambda: bool(self.shares.slots),
            lambda: 0.4,
            log,
        )
        own = HeardHosts(Peer(ip, 1, "zone-a", ip + "-boot"), log)
        self.shares = ShareAllocator(
            self.store, own, StubRates(), log, self.record.may_release_slots
        )
        self.peers, self.view = make_peer_service(
            ip,
            InProcessPeerClient(self.reached, fleet.is_lost),
            self.reached,
            lambda: self.budgets,
            lambda: self.lender,
            log,
        )
        self.view.lender_of = self.lender_of
        self.budgets = BudgetKeeper(
            self.store,
            ip,
            self.peers.collect_tokens,
            self.peers.ask_lender,
            RowReaper(self.store, log),
            log,
            lambda: self.store.reachable,
        )
        self.lender = TokenLender(
            lambda: self.shares.slots,
            self.record.seconds_until_lending,
            lambda: not self.store.reachable,
            self.peers.collect_tokens,
            self.budgets.charge,
            log,
        )
        self.tasks = [
            asyncio.create_task(task)
            for task in (
                self.record.run(),
                self.shares.run(),
                self.lender.run(),
                self.budgets.run(),
                self.follow(),
            )
        ]

    async def follow(self):
        """Deliver the row of rate shares and slots periodically, like a watch."""
        while True:
            if self.store.reachable:
                rows = self.fleet.store.rows.range("fleet", "", KEY, KEY + "\0")
                for place, row in rows:
                    row = StoredRow(RowKey(*place), row.value, row.version)
                    self.shares.apply_row(row)
            await asyncio.sleep(0.1)

    def reached(self):
        """Return the peer services on this side of the network partition by address."""
        hosts = [self, *self.fleet.reached_by(self)]
        return {host.ip: host.peers for host in hosts}

    def lender_of(self, slot):
        """Return the peer that lends from a slot, as announced in its beacons."""
        for host in self.fleet.reached_by(self):
            if slot in host.lender.lending_slots():
                return Peer(host.ip, 1, "zone-a", "")
        return None

    def kill(self):
        for task in self.tasks:
            task.cancel()


class Fleet:
    """Hosts that reach each other except for network partitions and lost answers."""

    def __init__(self, store, log, rng, n_hosts):
        self.store, self.log, self.rng = store, log, rng
        self.loss = 0.0
        self.hosts = {}
        for i in range(n_hosts):
            self.start(f"h{i}")

    def start(self, ip):
        if ip in self.hosts:
            self.hosts[ip].kill()
        self.hosts[ip] = Host(self, ip)

    def remove(self, ip):
        """Kill a host that does not restart."""
        self.hosts.pop(ip).kill()

    def reached_by(self, host):
        """Return the other hosts on the same side of the network partition."""
        others = [h for h in self.hosts.values() if h is not host]
        return [h for h in others if h.store.cut == host.store.cut]

    def is_lost(self):
        """Draw whether an answer is lost, together with the tokens in it."""
        return self.rng.random() < self.loss

    def any(self):
        return self.rng.choice(list(self.hosts.values()))

    async def turn(self, host, budget, generated):
        """Run a turn; return the tokens that it generated, None if it was refused."""
        try:
            reservation = await host.budgets.reserve(
                "r", CUSTOMER, PROGRAM, budget, MAX_TURN_TOKENS
            )
        except Refusal:
            return None
        await asyncio.sleep(0.05)
        generated = min(generated, reservation.tokens)
        host.budgets.settle(reservation, generated)
        return generated


def run_fleet(store, log, scenario, n_hosts=4, seed=0):
    """Run a scenario on a simulated clock, after the hosts acquired their slots."""

    async def main():
        fleet = Fleet(store, log, random.Random(seed), n_hosts)
        await asyncio.sleep(8.0)
        return await scenario(fleet)

    return run_paused(main())
