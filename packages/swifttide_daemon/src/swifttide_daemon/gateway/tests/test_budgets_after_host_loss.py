"""Tests of token budgets after the loss of the hosts that held the tokens."""

import asyncio
import functools

import pytest

from swifttide_core.budgets import slot_of
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.tests._lending_fleet import (
    CUSTOMER,
    MAX_TURN_TOKENS,
    PROGRAM,
    PROGRAM_KEY,
    run_fleet,
)

RECOVERY_SECONDS = 2.0
"""Time within which programs are served again after hosts and store are back."""


@pytest.fixture
def play(store, log):
    return functools.partial(run_fleet, store, log)


async def restart_all_hosts(fleet, store, down_seconds):
    """Kill all hosts in an outage of the store, which ends when they restart."""
    store.down = True
    await asyncio.sleep(down_seconds)
    for host in fleet.hosts.values():
        host.kill()
    await asyncio.sleep(1.5)
    store.down = False
    for ip in list(fleet.hosts):
        fleet.start(ip)
    await asyncio.sleep(RECOVERY_SECONDS)


async def status_of_turn(host, budget):
    """Return 200 if a turn is admitted, otherwise the HTTP status of the refusal."""
    try:
        reservation = await host.budgets.reserve(
            "r", CUSTOMER, PROGRAM, budget, MAX_TURN_TOKENS
        )
    except Refusal as exc:
        return exc.status
    host.budgets.settle(reservation, 8)
    return 200


class TestAllHostsLost:
    @pytest.mark.parametrize(
        "n_turns, budget",
        [
            (1, 2 * MAX_TURN_TOKENS),
            (1, 3 * MAX_TURN_TOKENS),
            (3, 3 * MAX_TURN_TOKENS),
            (1, 8 * MAX_TURN_TOKENS),
            (3, 8 * MAX_TURN_TOKENS),
        ],
    )
    def test_program_with_remaining_budget_continues(
        self, play, store, budget, n_turns
    ):
        """Guards against refusals for hours because lost loans are unknown."""

        async def scenario(fleet):
            for _ in range(n_turns):
                assert await fleet.turn(fleet.any(), budget, 8) == 8
            await restart_all_hosts(fleet, store, 2.0)
            return await status_of_turn(fleet.any(), budget)

        assert play(scenario) == 200

    def test_program_with_loan_continues_after_host_loss(self, play, store):
        """Guards against ending a program whose loan was lost with its lender."""

        async def scenario(fleet):
            store.down = True
            await asyncio.sleep(2.0)
            assert await fleet.turn(fleet.any(), 3 * MAX_TURN_TOKENS, 8) == 8
            await restart_all_hosts(fleet, store, 0.0)
            return await status_of_turn(fleet.any(), 3 * MAX_TURN_TOKENS)

        assert play(scenario) == 200

    def test_budget_of_which_a_loan_was_forgotten(self, play, store):
        """Guards against charging what a lost host may have lent.

        Nobody knows whether it lent anything. The account has granted three quarters.
        """
        budget = 8 * MAX_TURN_TOKENS

        async def scenario(fleet):
            host = fleet.any()
            for _ in range(6):
                assert (
                    await fleet.turn(host, budget, MAX_TURN_TOKENS) == MAX_TURN_TOKENS
                )
            await restart_all_hosts(fleet, store, 2.0)
            host = fleet.any()
            turns = [await fleet.turn(host, budget, MAX_TURN_TOKENS) for _ in range(3)]
            rows = store.rows.range("budgets", PROGRAM_KEY[:2], "", "")
            return turns, rows[0][1].value

        turns, row = play(scenario)
        assert turns == [MAX_TURN_TOKENS, MAX_TURN_TOKENS, None]
        assert b'"granted":%d' % budget in row

    def test_vanished_slot_owner_does_not_block_programs(self, play, store):
        """Guards against refusals for hours after the loss of the slot's owner."""
        budget = 8 * MAX_TURN_TOKENS

        async def scenario(fleet):
            slot = slot_of(PROGRAM_KEY)
            owner = next(h for h in fleet.hosts.values() if slot in h.shares.slots)
            host = next(h for h in fleet.hosts.values() if h is not owner)
            fleet.remove(owner.ip)
            used = 0
            while (tokens := await fleet.turn(host, budget, 8)) is not None:
                used += tokens
            return used, await status_of_turn(host, budget)

        used, status = play(scenario)
        assert status == 402
        assert budget - used < MAX_TURN_TOKENS

    def test_tokens_that_a_lost_host_passed_on(self, play, store):
        """Guards against a budget that counts as spent while a host has the rest.

        The host that was granted the tokens has passed them on, and is lost. Nobody but
        the one that has them knows.
        """
        budget = 2 * MAX_TURN_TOKENS

        async def scenario(fleet):
            first, second, third, _ = fleet.hosts.values()
            for _ in range(2):
                assert await fleet.turn(first, budget, 2) == 2
            assert await fleet.turn(second, budget, 2) == 2
            second.budgets._programs[PROGRAM_KEY].account = None
            fleet.remove(first.ip)
            return await status_of_turn(third, budget)

        assert play(scenario) == 200
