"""A customer's rate over several hosts."""

import asyncio
import random
from dataclasses import dataclass

import pytest

from swifttide_core.forwarding import CustomerTerms
from swifttide_daemon.gateway._fleet import Fleet
from swifttide_daemon.gateway._peer import Peer
from swifttide_daemon.gateway._rate_keeper import RateKeeper
from swifttide_daemon.gateway._refusal import Refusal
from swifttide_standins.paused_clock import run_paused

TERMS = CustomerTerms("c", rate_per_second=15.0, burst=15.0)
WINDOW = 5.0


@dataclass
class Rules:
    """What a customer may get in a window."""

    rate_window_seconds: float = WINDOW
    rate_excess: float = 0.1
    rate_extra: float = 20.0


class Hosts:
    """Hosts with equal shares, and a network that loses messages."""

    def __init__(self, log, count, loss=0.0, seed=0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.admitted = []
        peers = [Peer(f"10.0.0.{i}", 1, "zone-a", f"b{i}") for i in range(count)]
        self.keepers = {}
        for own in peers:
            fleet = Fleet(own, log)
            for peer in peers:
                if peer != own:
                    fleet.heard(peer, True)
            fleet.alive = lambda p=peers, o=own: [x for x in p if x != o]
            keeper = RateKeeper(Rules(), fleet, self.sender(own), log)
            keeper.share = 1.0 / count
            keeper.follow((TERMS,))
            self.keepers[own.ip] = keeper

    def sender(self, own):
        """Return a function that sends a message to a peer and its answer back."""

        def send(peer, ask):
            if self.rng.random() >= self.loss:
                loop = asyncio.get_running_loop()
                loop.call_later(0.001, self.answer, own, peer, ask)

        return send

    def answer(self, own, peer, ask):
        lent = self.keepers[peer.ip].lend(ask)
        if lent is not None and self.rng.random() >= self.loss:
            loop = asyncio.get_running_loop()
            loop.call_later(0.001, self.keepers[own.ip].receive, lent)

    async def request(self, number, wait=0.0):
        """Ask to be let in at a host; return whether it was."""
        keeper = list(self.keepers.values())[number % len(self.keepers)]
        try:
            await keeper.take("r", TERMS, wait)
        except Refusal:
            return False
        self.admitted.append(asyncio.get_running_loop().time())
        return True

    def most_in_window(self):
        """Return the most requests let in within any window."""
        times = sorted(self.admitted)
        return max(
            (sum(1 for t in times if s <= t < s + WINDOW) for s in times), default=0
        )


class TestRates:
    def test_customer_gets_its_rate_through_one_host(self, log):
        """All callers of a customer arrive at one host of ten.

        Its own share is a tenth; the rest comes from hosts that don't need theirs.
        """

        async def main():
            hosts = Hosts(log, 10)
            await asyncio.sleep(2.0)
            served = 0
            for _ in range(120):
                served += await hosts.request(0)
                await asyncio.sleep(1 / 12)
            return served

        assert run_paused(main()) >= 115

    @pytest.mark.parametrize("seed", range(8))
    def test_never_more_than_the_rate(self, log, seed):
        """A customer sends many times its rate at all hosts, and messages get lost."""

        async def main():
            hosts = Hosts(log, 10, loss=0.2 * (seed % 3), seed=seed)
            await asyncio.sleep(2.0)
            tasks = []
            for i in range(1200):
                wait = 1.0 if i % 3 else 0.0
                number = hosts.rng.randrange(10)
                tasks.append(asyncio.create_task(hosts.request(number, wait)))
                await asyncio.sleep(0.01)
            await asyncio.gather(*tasks)
            return hosts.most_in_window()

        owed = TERMS.rate_per_second * WINDOW + TERMS.burst
        assert run_paused(main()) <= owed * 1.1 + 20

    def test_programs_under_way_go_before_new_ones(self, log):
        """A customer sends twice its rate, half of it from programs under way.

        Those wait for their turn and are served; the new ones are refused at once
        and have lost nothing.
        """

        async def main():
            hosts = Hosts(log, 4)
            await asyncio.sleep(2.0)
            under_way, new = [], []
            for i in range(200):
                if i % 2:
                    task = asyncio.create_task(hosts.request(i, 1.0))
                    under_way.append(task)
                else:
                    new.append(asyncio.create_task(hosts.request(i, 0.0)))
                await asyncio.sleep(1 / 28)
            return sum(await asyncio.gather(*under_way)), sum(
                await asyncio.gather(*new)
            )

        under_way, new = run_paused(main())
        assert under_way >= 95
        assert new <= 40

    def test_refund_of_a_request_that_was_sent_to_no_target(self, log):
        async def main():
            hosts = Hosts(log, 1)
            await asyncio.sleep(2.0)
            keeper = hosts.keepers["10.0.0.0"]
            for _ in range(100):
                await keeper.take("r", TERMS, 0.0)
                keeper.refund(TERMS)
            return len(hosts.admitted)

        assert run_paused(main()) == 0
