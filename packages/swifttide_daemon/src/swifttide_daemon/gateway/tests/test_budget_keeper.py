"""Tests of token budgets shared by several hosts, under faults of the store."""

import asyncio
import functools
import random

import pytest

from swifttide_core.budgets import ProgramAccount
from swifttide_daemon.gateway.budgets._account_rows import decode_account, program_key
from swifttide_daemon.gateway.budgets._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.peers._peer_messages import Loan
from swifttide_daemon.gateway.store._row_reaper import RowReaper
from swifttide_daemon.gateway.tests._hosts import InProcessPeerClient, make_peer_service
from swifttide_standins.paused_clock import run_paused

MAX_TURN_TOKENS = 30


class Hosts:
    """Budget keepers of several hosts that collect tokens from each other."""

    def __init__(self, store, log, count):
        self.store, self.log = store, log
        self.keepers = {}
        self.services = {}
        for i in range(count):
            self.start(f"10.0.0.{i}")

    def start(self, ip):
        """Start the budget keeper of a host; a previous one loses its memory."""
        reached = lambda: self.services  # noqa: E731
        service, _ = make_peer_service(
            ip,
            InProcessPeerClient(reached),
            reached,
            lambda: self.keepers[ip],
            lambda: None,
            self.log,
        )
        self.services[ip] = service
        self.keepers[ip] = BudgetKeeper(
            self.store,
            ip,
            service.collect_tokens,
            self.ask_lender,
            RowReaper(self.store, self.log),
            self.log,
        )

    async def ask_lender(self, ask):
        return 0

    def any(self, number):
        return list(self.keepers.values())[number % len(self.keepers)]


generated_tokens: list[int] = []
"""Tokens that each completed turn generated."""


async def run_turn(keeper, budget, generated):
    """Run a turn that generates up to `generated` tokens; return its HTTP status."""
    try:
        reservation = await keeper.reserve("r", "c", "p", budget, MAX_TURN_TOKENS)
    except Refusal as refusal:
        return refusal.status
    await asyncio.sleep(0.05)
    # A turn is aborted when its reserved tokens are used up.
    generated = min(generated, reservation.tokens)
    keeper.settle(reservation, generated)
    generated_tokens.append(generated)
    return 200


class TestBudget:
    def test_tokens_follow_program_between_hosts(self, store, log):
        """Guards against refusing a program whose budget suffices for more turns.

        Each turn arrives at another host, and unused tokens remain at the earlier hosts
        unless they are collected.
        """

        async def main():
            hosts = Hosts(store, log, 3)
            return [await run_turn(hosts.any(i), 100, 10) for i in range(10)]

        assert run_paused(main()) == [200] * 8 + [402] * 2

    def test_one_host_needs_few_writes(self, store, log):
        async def main():
            hosts = Hosts(store, log, 1)
            statuses = [await run_turn(hosts.any(0), 300, 10) for _ in range(10)]
            return statuses, store.rows.n_commits

        statuses, n_commits = run_paused(main())
        assert statuses == [200] * 10
        assert n_commits <= 2

    def test_refuses_new_program_while_store_is_unavailable(self, store, log):
        async def main():
            hosts = Hosts(store, log, 1)
            store.down = True
            return await run_turn(hosts.any(0), 300, 10)

        assert run_paused(main()) == 503

    def test_admits_turns_from_local_tokens_while_store_is_unavailable(
        self, store, log
    ):
        async def main():
            hosts = Hosts(store, log, 1)
            first = await run_turn(hosts.any(0), 300, 10)
            store.down = True
            return [first] + [await run_turn(hosts.any(0), 300, 10) for _ in range(5)]

        assert run_paused(main()) == [200] * 6

    def test_reads_account_after_lost_answer(self, store, log):
        """Guards against miscounting a grant whose answer from the store was lost.

        If the grant counted as failed, its tokens would be lost to the program. If it
        counted as successful without reading the account, tokens that were never
        granted could be used.
        """

        async def main():
            hosts = Hosts(store, log, 1)
            store.n_lost_answers = 1
            first = await run_turn(hosts.any(0), 90, 10)
            return [first] + [await run_turn(hosts.any(0), 90, 10) for _ in range(2)]

        statuses = run_paused(main())
        assert statuses[0] in (200, 503)
        assert statuses[1] == 200

    @pytest.mark.parametrize(("n_turns", "n_writes"), [(4, 1), (9, 2)])
    def test_moving_program_causes_no_further_write(
        self, store, log, n_turns, n_writes
    ):
        """Guards against one write per turn if turns alternate between three hosts."""

        async def main():
            hosts = Hosts(store, log, 3)
            statuses = [await run_turn(hosts.any(i), 300, 10) for i in range(n_turns)]
            return statuses, store.rows.n_commits

        assert run_paused(main()) == ([200] * n_turns, n_writes)

    def test_collects_tokens_that_moved_to_another_host(self, store, log):
        """Guards against losing tokens that moved on from the host that was asked."""

        async def main():
            hosts = Hosts(store, log, 4)
            for i in (0, 1, 2):
                await run_turn(hosts.any(i), 300, 10)
            return await hosts.services["10.0.0.3"].collect_tokens(
                program_key("c", "p"), ("10.0.0.0",), "10.0.0.3"
            )

        # One grant, the most of two turns, less 10 tokens for each turn.
        assert run_paused(main()) == 60 - 30

    def test_collects_tokens_while_store_is_unavailable(self, store, log):
        async def main():
            hosts = Hosts(store, log, 2)
            await run_turn(hosts.any(0), 300, 10)
            store.down = True
            return await hosts.services["10.0.0.1"].collect_tokens(
                program_key("c", "p"), None, "10.0.0.1"
            )

        assert run_paused(main()) == 60 - 10

    @pytest.mark.parametrize("seed", range(40))
    def test_budget_is_not_exceeded_under_random_faults(self, store, log, seed):
        """Guards against a program in an endless loop exceeding its budget.

        Hosts restart, writes take effect late, answers are lost, and the store is
        temporarily unavailable.
        """
        rng = random.Random(seed)
        budget = rng.randrange(MAX_TURN_TOKENS, 10 * MAX_TURN_TOKENS)

        async def main():
            hosts = Hosts(store, log, 3)
            generated_tokens.clear()
            for _ in range(120):
                store.down = rng.random() < 0.1
                store.delay = rng.random() < 0.1
                store.n_lost_answers = int(rng.random() < 0.1)
                if rng.random() < 0.1:
                    store.deliver_late()
                if rng.random() < 0.05:
                    hosts.start(rng.choice(list(hosts.keepers)))
                returns = [
                    keeper.return_all_tokens()
                    for keeper in hosts.keepers.values()
                    if rng.random() < 0.1
                ]
                turns = [
                    (hosts.any(rng.randrange(9)), rng.randrange(MAX_TURN_TOKENS + 1))
                    for _ in range(rng.randrange(1, 4))
                ]
                await asyncio.gather(
                    *(run_turn(keeper, budget, used) for keeper, used in turns),
                    *returns,
                )
            return sum(generated_tokens)

        assert run_paused(main()) <= budget


class TestReturnedTokens:
    def account_in(self, store):
        key = program_key("c", "p")
        ((_, row),) = store.rows.range("budgets", key[:2], key, key + "\0")
        return decode_account(row.value)[0]

    def play(self, store, log, prepare):
        """Run two turns at once at two hosts, and return their unused tokens."""

        async def main():
            hosts = Hosts(store, log, 2)
            turns = [run_turn(hosts.any(i), 300, 10) for i in range(2)]
            assert await asyncio.gather(*turns) == [200, 200]
            prepare()
            for keeper in hosts.keepers.values():
                await keeper.return_all_tokens()
            store.down = False
            key = program_key("c", "p")
            found = [k.withdraw(key, "x") for k in hosts.keepers.values()]
            return sum(tokens.tokens for tokens in found), self.account_in(store)

        return run_paused(main())

    def test_unused_tokens_are_in_the_account_again(self, store, log):
        """Guards against tokens that are lost with the host that holds them."""
        kept, account = self.play(store, log, lambda: None)
        assert kept == 0
        assert account == ProgramAccount(300, 20)

    def test_tokens_are_kept_while_the_store_is_down(self, store, log):
        """Guards against tokens lost because the store was down at their return."""
        kept, account = self.play(store, log, lambda: setattr(store, "down", True))
        assert kept == account.granted - 20

    def test_return_is_tried_again(self, store, log):
        """Guards against tokens that stay at a host whose first try has failed."""

        async def main():
            keeper = Hosts(store, log, 1).any(0)
            returning = asyncio.create_task(keeper.run())
            await run_turn(keeper, 300, 10)
            store.unavailable_tables = {"budgets"}
            await asyncio.sleep(3.0)
            before = self.account_in(store).granted
            store.unavailable_tables = set()
            await asyncio.sleep(3.0)
            returning.cancel()
            return before, self.account_in(store).granted

        assert run_paused(main()) == (60, 10)

    def test_tokens_whose_return_got_no_answer_are_spent(self, store, log):
        """Guards against tokens that are returned and used as well."""
        lose = functools.partial(setattr, store, "n_lost_answers", 1)
        kept, account = self.play(store, log, lose)
        assert account.granted == 20
        assert kept == 0


class TestGrantsWithoutAnAnswer:
    """Tokens that were granted while nobody waited for them, or without an answer."""

    def test_caller_leaves_while_tokens_are_granted(self, store, log, monkeypatch):
        """Guards against tokens that are granted to a turn that was given up."""
        commit = store.commit

        async def answer_late(tx):
            outcome = await commit(tx)
            await asyncio.sleep(0.2)
            return outcome

        async def main():
            keeper = Hosts(store, log, 1).any(0)
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.1):
                    await keeper.reserve("r", "c", "p", 90, MAX_TURN_TOKENS)
            return [await run_turn(keeper, 90, 30) for _ in range(4)]

        monkeypatch.setattr(store, "commit", answer_late)
        assert run_paused(main()) == [200, 200, 200, 402]

    def test_answer_to_a_grant_is_lost(self, store, log):
        """Guards against tokens that a host was granted without learning of it."""

        async def main():
            keeper = Hosts(store, log, 1).any(0)
            store.n_lost_answers = 1
            return [await run_turn(keeper, 90, 30) for _ in range(5)]

        assert run_paused(main()) == [503, 200, 200, 200, 402]

    def test_another_host_writes_after_a_grant_whose_answer_is_lost(self, store, log):
        """Guards against tokens that a host doesn't find as its own any more."""

        async def main():
            hosts = Hosts(store, log, 2)
            store.n_lost_answers = 1
            first = await run_turn(hosts.any(0), 150, 30)
            second = await run_turn(hosts.any(1), 150, 30)
            return [first, second] + [
                await run_turn(hosts.any(i % 2), 150, 30) for i in range(5)
            ]

        assert run_paused(main()) == [503, 200, 200, 200, 200, 200, 402]

    def test_return_that_had_no_effect(self, store, log):
        """Guards against tokens that are neither returned nor held by a host."""

        async def main():
            keeper = Hosts(store, log, 1).any(0)
            statuses = [await run_turn(keeper, 90, 10)]
            store.delay = True
            await keeper.return_all_tokens()
            store.delay = False
            return statuses + [await run_turn(keeper, 90, 20) for _ in range(4)]

        assert run_paused(main()) == [200, 200, 200, 200, 402]


class TestForeignRow:
    @pytest.mark.parametrize("value", [b"[" * 2000, b"{}", b'{"budget": -1}'])
    def test_unusable_account_refuses_the_turn(self, store, log, value):
        """Guards against a turn that is answered as if it may have run."""

        async def main():
            key = program_key("c", "p")
            store.rows.put("budgets", key, value, part=key[:2])
            keeper = Hosts(store, log, 1).any(0)
            with pytest.raises(Refusal) as caught:
                await keeper.reserve("r", "c", "p", 300, MAX_TURN_TOKENS)
            known = await keeper.has_account("c", "p")
            charged = await keeper.charge(key, Loan(300, lent=10))
            return caught.value, known, charged

        refusal, known, charged = run_paused(main())
        assert (refusal.status, refusal.reason) == (503, "account_unreadable")
        assert refusal.retry_after > 0
        assert not known
        assert charged is None
