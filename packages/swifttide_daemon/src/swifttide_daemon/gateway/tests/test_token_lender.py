"""Tests of loans during outages of the store: which hosts lend, and how much."""

import asyncio
import functools
import random

import pytest

from swifttide_core.budgets import slot_of
from swifttide_daemon.gateway.peers._peer_messages import AskTokens
from swifttide_daemon.gateway.tests._lending_fleet import (
    MAX_TURN_TOKENS,
    PROGRAM_KEY,
    run_fleet,
)


@pytest.fixture
def play(store, log):
    return functools.partial(run_fleet, store, log)


class TestOutage:
    def test_new_program_is_served_while_store_is_unavailable(self, play, store):
        """Guards against refusing a program that starts during an outage of the store.

        Its turns arrive at several hosts, and there is no row for it. If it were
        refused until the store is back, it would be late in any case. It gets what one
        turn may generate: an account may grant all else, and whoever forgets a loan of
        it would have to withhold it for good.
        """

        async def scenario(fleet):
            store.down = True
            await asyncio.sleep(2.0)
            turns = [await fleet.turn(fleet.any(), 300, 8) for _ in range(4)]
            store.down = False
            await asyncio.sleep(2.0)
            rows = store.rows.range("budgets", PROGRAM_KEY[:2], "", "")
            return turns, rows

        turns, rows = play(scenario)
        assert turns == [8, 8, 8, None]
        assert b'"granted":' in rows[0][1].value

    def test_nothing_is_lent_at_the_start_of_an_outage(self, play, store):
        """Guards against lending twice after a restart at the start of an outage.

        A host may be killed when the store goes down and restart within a second. The
        next process cannot know the loans of its predecessor, unless the predecessor
        cannot have lent yet.
        """

        async def scenario(fleet):
            store.down = True
            await asyncio.sleep(0.5)
            return await fleet.turn(fleet.any(), 300, 8)

        assert play(scenario) is None

    def test_restarted_lender_does_not_lend(self, play, store):
        """Guards against a program exceeding its budget by more than one turn.

        The lending host is killed and loses the memory of its loans. If its next
        process could lend, it would lend the same tokens again.
        """

        async def scenario(fleet):
            store.down = True
            await asyncio.sleep(2.0)
            await fleet.turn(fleet.any(), 300, 8)
            store.down = False
            for ip in list(fleet.hosts):
                fleet.start(ip)
            await asyncio.sleep(2.0)
            store.down = True
            await asyncio.sleep(2.0)
            return [host.lender.lending_slots() for host in fleet.hosts.values()]

        assert play(scenario) == [frozenset()] * 4

    def test_hosts_restarted_while_store_is_available_lend_later(self, play, store):
        """Guards against refusing all new programs in an outage after a restart.

        All processes are killed and restart within 0.8 s while the store is available,
        so that nothing can have been lent. The store goes down later.
        """

        async def scenario(fleet):
            for host in fleet.hosts.values():
                host.kill()
            await asyncio.sleep(0.8)
            for ip in list(fleet.hosts):
                fleet.start(ip)
            await asyncio.sleep(3.0)
            store.down = True
            await asyncio.sleep(2.0)
            return sum(
                len(host.lender.lending_slots()) for host in fleet.hosts.values()
            )

        assert play(scenario) == 64

    def test_stopping_host_hands_its_slots_over(self, play, store):
        """Guards against slots without a lender if hosts restart during an outage."""

        async def scenario(fleet):
            store.down = True
            await asyncio.sleep(2.0)
            first, second, *_ = fleet.hosts.values()
            before = first.lender.lending_slots()
            assert second.lender.take_over(first.lender.hand_over())
            return before, first.lender.lending_slots(), second.lender.lending_slots()

        before, first, second = play(scenario)
        assert before
        assert not first
        assert before < second

    def test_slots_are_not_handed_over_before_lending_is_allowed(self, play, store):
        """Guards against lending tokens twice if a host restarts as an outage starts.

        Its record is recent, so that its next process may lend. Another host that took
        its slots over would lend the same tokens again.
        """

        async def scenario(fleet):
            store.down = True
            await asyncio.sleep(0.5)
            return fleet.any().lender.hand_over()

        assert play(scenario) is None

    def test_whole_budget_is_granted(self, play):
        async def scenario(fleet):
            host = fleet.any()
            return [await fleet.turn(host, 100, 10) for _ in range(9)]

        assert play(scenario) == [10] * 8 + [None]

    def test_lender_restarted_before_charging_its_loans_is_barred(self, play, store):
        """Guards against lending tokens again that were lent but not charged.

        The store is back, and the lending host is killed before it charges its loans.
        Its next process finds a recent record, but must not lend.
        """

        async def scenario(fleet):
            store.down = True
            await asyncio.sleep(2.0)
            assert await fleet.turn(fleet.any(), 300, 8) == 8
            store.unavailable_tables = {"budgets"}
            store.down = False
            await asyncio.sleep(1.0)
            for ip in list(fleet.hosts):
                fleet.start(ip)
            await asyncio.sleep(1.0)
            return sorted(
                host.record.has_no_unknown_loans() for host in fleet.hosts.values()
            )

        # Only the host that had made a loan is barred.
        assert play(scenario) == [False, True, True, True]

    def test_overdrawn_program_gets_no_loan(self, play, store):
        """Guards against a second loan once the first one has exceeded the budget."""

        async def scenario(fleet):
            owner = next(
                host
                for host in fleet.hosts.values()
                if slot_of(PROGRAM_KEY) in host.shares.slots
            )
            while await fleet.turn(owner, 90, 30):
                pass
            ask = AskTokens(PROGRAM_KEY, 90, 30, MAX_TURN_TOKENS, "h9")
            lent = []
            for _ in range(2):
                store.down = True
                await asyncio.sleep(2.0)
                lent.append(await owner.lender.lend(ask))
                store.down = False
                await asyncio.sleep(2.0)
            fleet.start(owner.ip)
            await asyncio.sleep(2.0)
            store.down = True
            await asyncio.sleep(2.0)
            owner = fleet.hosts[owner.ip]
            assert slot_of(PROGRAM_KEY) in owner.lender.lending_slots()
            return [*lent, await owner.lender.lend(ask)]

        assert play(scenario) == [30, 0, 0]

    def test_budget_that_holds_a_loan_leaves_room_for_another(self, play, store):
        """Guards against refusals in a second outage though the first was paid."""

        async def scenario(fleet):
            owner = next(
                host
                for host in fleet.hosts.values()
                if slot_of(PROGRAM_KEY) in host.shares.slots
            )
            ask = AskTokens(PROGRAM_KEY, 90, 30, MAX_TURN_TOKENS, "h9")
            lent = []
            for _ in range(2):
                store.down = True
                await asyncio.sleep(2.0)
                lent.append(await owner.lender.lend(ask))
                store.down = False
                await asyncio.sleep(2.0)
            return lent

        assert play(scenario) == [30, 30]

    @pytest.mark.parametrize("seed", range(60))
    def test_budget_is_not_exceeded_under_random_faults(self, play, store, seed):
        """Guards against a program exceeding its budget by more than one turn.

        Combines outages of the store, network partitions, killed hosts, hand-overs,
        lost answers and late writes at random.
        """
        rng = random.Random(seed)
        budget = rng.randrange(MAX_TURN_TOKENS, 12 * MAX_TURN_TOKENS)

        async def scenario(fleet):
            fleet.loss = 0.05
            total = 0
            for _ in range(80):
                self.inject_faults(fleet, store, rng)
                hosts = [fleet.any() for _ in range(rng.randrange(1, 4))]
                turns = [
                    fleet.turn(h, budget, rng.randrange(MAX_TURN_TOKENS + 1))
                    for h in hosts
                ]
                total += sum(n or 0 for n in await asyncio.gather(*turns))
                await asyncio.sleep(rng.choice((0.0, 0.2, 1.0, 3.0)))
            return total

        assert play(scenario, seed=seed) <= budget + MAX_TURN_TOKENS

    def inject_faults(self, fleet, store, rng):
        if rng.random() < 0.15:
            store.down = not store.down
        store.delay = rng.random() < 0.05
        store.n_lost_answers = int(rng.random() < 0.05)
        if rng.random() < 0.2:
            store.deliver_late()
        host = fleet.any()
        draw = rng.random()
        if draw < 0.08:
            fleet.start(host.ip)
        elif draw < 0.12:
            self.stop(fleet, host)
        elif draw < 0.2:
            host.store.cut = not host.store.cut

    def stop(self, fleet, host):
        """Stop a host gracefully, handing its slots over, and start it again."""
        handed = host.lender.hand_over()
        others = fleet.reached_by(host)
        if handed is not None and others:
            others[0].lender.take_over(handed)
        fleet.start(host.ip)


class TestRecords:
    def test_host_without_slots_keeps_no_record(self, play, store):
        """Guards against writes by hundreds of hosts that lend nothing."""

        async def scenario(fleet):
            for host in fleet.hosts.values():
                host.shares._plan_slots = lambda entries, own, n: frozenset()
            await asyncio.sleep(3.0)
            before = store.rows.version
            await asyncio.sleep(5.0)
            return store.rows.version - before

        assert play(scenario) == 0

    def test_lending_records_are_in_separate_partitions(self, play, store):
        """Guards against contention between records in one partition of the store."""

        async def scenario(fleet):
            return [store.rows.range("lending", ip, "", "") for ip in fleet.hosts]

        assert all(len(rows) == 1 for rows in play(scenario))
