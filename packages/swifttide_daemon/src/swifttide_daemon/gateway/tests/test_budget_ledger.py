"""A program's budget against a ledger of all that it got, over all hosts and losses."""

import asyncio
import functools
import random

import pytest

from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.tests._lending_fleet import (
    CUSTOMER,
    PROGRAM,
    PROGRAM_KEY,
    run_fleet,
)

TURN_SIZES = (4, 10, 30)
"""Most tokens of a turn; turns of one program differ."""


@pytest.fixture
def play(store, log):
    return functools.partial(run_fleet, store, log)


class Ledger:
    """Runs turns of a program, and knows what it got and what was lost with hosts.

    Parameters
    ----------
    fleet : Fleet
    budget : int
    """

    def __init__(self, fleet, budget):
        self.fleet, self.budget = fleet, budget
        self.used = 0
        self.lost = 0
        self.largest_turn = 0
        self.told_spent_too_early = []

    async def turn(self, host, most, generated=None):
        """Run a turn; return its status."""
        self.largest_turn = max(self.largest_turn, most)
        try:
            reservation = await host.budgets.reserve(
                "r", CUSTOMER, PROGRAM, self.budget, most
            )
        except Refusal as exc:
            left = self.budget - self.used - self.lost
            if exc.status == 402 and left >= most:
                self.told_spent_too_early.append((left, most))
            return exc.status
        generated = min(most if generated is None else generated, reservation.tokens)
        self.used += generated
        host.budgets.settle(reservation, generated)
        return 200

    def lose(self, ip):
        """Kill a host; what it held of the budget is lost with it."""
        known = self.fleet.hosts[ip].budgets._programs.get(PROGRAM_KEY)
        if known is not None:
            self.lost += max(0, known.pool.free)
        self.fleet.hosts[ip].kill()

    async def lose_all(self, seconds):
        """Kill all hosts, and start them after some time."""
        for ip in self.fleet.hosts:
            self.lose(ip)
        await asyncio.sleep(seconds)
        for ip in list(self.fleet.hosts):
            self.fleet.start(ip)
        await asyncio.sleep(2.5)

    def replace(self, ip, new_ip):
        """Replace a host by one at another address, which comes first."""
        self.fleet.start(new_ip)
        self.lose(ip)
        del self.fleet.hosts[ip]

    async def stop(self, ip, new_ip):
        """Stop a host as planned, and replace it by one at another address.

        Only while the store is away something is lost with it.
        """
        is_away = self.fleet.store.down
        lost_before = self.lost
        await self.fleet.hosts[ip].budgets.return_all_tokens()
        self.replace(ip, new_ip)
        assert is_away or self.lost == lost_before

    def check(self):
        """Check that the program got its budget, and at most one turn more."""
        assert self.used <= self.budget + self.largest_turn
        assert not self.told_spent_too_early


class TestNeverLess:
    @pytest.mark.parametrize("seconds", [1.3, 3.5, 30.0])
    def test_last_quarter_after_a_loss_of_all_hosts(self, play, seconds):
        """Guards against a budget that counts as spent as hosts were away for long."""

        async def scenario(fleet):
            ledger = Ledger(fleet, 8 * 30)
            host = fleet.any()
            before = [await ledger.turn(host, 30) for _ in range(6)]
            await ledger.lose_all(seconds)
            host = fleet.any()
            after = [await ledger.turn(host, 30) for _ in range(3)]
            ledger.check()
            return before, after

        assert play(scenario) == ([200] * 6, [200, 200, 402])

    def test_last_quarter_after_each_host_was_replaced(self, play):
        """Guards against a budget that counts as spent as a slot has no owner."""

        async def scenario(fleet):
            ledger = Ledger(fleet, 8 * 30)
            host = fleet.any()
            before = [await ledger.turn(host, 30) for _ in range(6)]
            for n, ip in enumerate(list(fleet.hosts)):
                ledger.replace(ip, f"n{n}")
                await asyncio.sleep(3.0)
            host = fleet.any()
            after = [await ledger.turn(host, 30) for _ in range(3)]
            ledger.check()
            return before, after

        assert play(scenario) == ([200] * 6, [200, 200, 402])

    def test_program_that_was_idle_as_all_hosts_were_lost(self, play):
        """Guards against a budget that counts as spent because turns ran at once, each
        of which generated a quarter of its most.
        """

        async def scenario(fleet):
            ledger = Ledger(fleet, 8 * 30)
            hosts = list(fleet.hosts.values())
            turns = [ledger.turn(hosts[i % 4], 30, 7) for i in range(8)]
            before = await asyncio.gather(*turns)
            await asyncio.sleep(2.5)
            await ledger.lose_all(1.3)
            assert ledger.lost == 0
            while await ledger.turn(fleet.any(), 30) == 200:
                pass
            ledger.check()
            return before, ledger.used

        before, used = play(scenario)
        assert before == [200] * 8
        assert used > 7 * 30

    def test_program_whose_hosts_are_replaced_as_planned(self, play):
        """Guards against tokens that a host takes with it as it stops."""

        async def scenario(fleet):
            ledger = Ledger(fleet, 8 * 30)
            for n, ip in enumerate(list(fleet.hosts)):
                await ledger.turn(fleet.hosts[ip], 30, 7)
                await ledger.stop(ip, f"n{n}")
                await asyncio.sleep(0.3)
            while await ledger.turn(fleet.any(), 30) == 200:
                pass
            ledger.check()
            return ledger.used

        assert play(scenario) > 7 * 30


class TestNeverMore:
    def test_spent_program_returns_in_an_outage_with_smaller_turns(self, play, store):
        """Guards against lending again what the account has granted."""

        async def scenario(fleet):
            ledger = Ledger(fleet, 160)
            while await ledger.turn(fleet.any(), 40 if not ledger.used else 30) == 200:
                pass
            while await ledger.turn(fleet.any(), 10) == 200:
                pass
            before = ledger.used
            store.down = True
            await asyncio.sleep(2.5)
            for _ in range(6):
                await ledger.turn(fleet.any(), 30)
            ledger.check()
            return before, ledger.used

        before, after = play(scenario)
        assert before == 160
        assert after <= 160 + 40

    def test_outages_one_after_another(self, play, store):
        """Guards against lending a turn anew in each outage."""

        async def scenario(fleet):
            ledger = Ledger(fleet, 120)
            for _ in range(4):
                for _ in range(4):
                    await ledger.turn(fleet.any(), 30)
                store.down = True
                await asyncio.sleep(2.5)
                for _ in range(4):
                    await ledger.turn(fleet.any(), 30)
                store.down = False
                await asyncio.sleep(2.5)
            ledger.check()
            return ledger.used

        assert 120 <= play(scenario) <= 150


class TestUnderFaults:
    @pytest.mark.parametrize("seed", range(60))
    def test_budget_is_kept_from_both_sides(self, play, store, seed):
        """Guards against more than the budget, and against less.

        Combines outages one after another, losses of all hosts, replaced hosts and
        turns of different sizes at random.
        """
        rng = random.Random(seed)

        async def scenario(fleet):
            ledger = Ledger(fleet, rng.randrange(30, 400))
            for step in range(60):
                await self.disturb(ledger, store, rng, step)
                for _ in range(rng.randrange(4)):
                    most = rng.choice(TURN_SIZES)
                    generated = rng.choice((most, most // 4))
                    await ledger.turn(fleet.any(), most, generated)
                await asyncio.sleep(rng.choice((0.0, 0.3, 2.5)))
            ledger.check()

        play(scenario, seed=seed)

    async def disturb(self, ledger, store, rng, step):
        draw = rng.random()
        ip = rng.choice(list(ledger.fleet.hosts))
        if draw < 0.15:
            store.down = not store.down
        elif draw < 0.2:
            await ledger.lose_all(rng.choice((0.5, 1.3, 5.0)))
        elif draw < 0.25:
            ledger.replace(ip, f"n{step}")
        elif draw < 0.3:
            ledger.lose(ip)
            ledger.fleet.start(ip)
        elif draw < 0.35:
            await ledger.stop(ip, f"n{step}")
