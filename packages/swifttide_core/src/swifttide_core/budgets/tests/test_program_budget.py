"""Budgets of programs."""

import pytest

from swifttide_core.budgets import (
    BudgetLimit,
    BudgetLimits,
    BudgetRefused,
    ProgramBudget,
    Reserved,
)
from swifttide_core.documents import Profile

LIMITS = BudgetLimits(100, 10, 5, 60.0)


def budget():
    return ProgramBudget(LIMITS, 0.0)


class TestReservation:
    def test_parallel_sub_agents_share_one_rest(self):
        """Two sub-agents take a turn at once. Each would see the whole rest, and
        together they would spend twice of it.
        """
        account = budget()
        assert account.reserve_turn(0.0, "agent1/1", 60) == Reserved(60)
        refused = account.reserve_turn(0.0, "agent2/1", 60)
        assert refused.limit is BudgetLimit.TOKENS
        assert not refused.final
        account.settle("agent1/1", 10)
        assert account.reserve_turn(0.0, "agent2/1", 60) == Reserved(60)

    def test_unknown_outcome_stays_reserved(self):
        """The answer is lost. Whatever the turn has spent must not be spent again."""
        account = budget()
        account.reserve_turn(0.0, "1", 60)
        account.lose("1")
        refused = account.reserve_turn(0.0, "2", 60)
        assert refused.final

    def test_late_answer_settles_an_unknown_outcome_once(self):
        account = budget()
        account.reserve_turn(0.0, "1", 60)
        account.lose("1")
        account.settle("1", 20)
        account.settle("1", 20)
        assert (account.used_tokens, account.reserved_tokens) == (20, 0)

    def test_same_turn_again_reserves_once(self):
        account = budget()
        account.reserve_turn(0.0, "1", 60)
        assert account.reserve_turn(0.0, "1", 60) == Reserved(60)
        assert (account.reserved_tokens, account.n_turns) == (60, 1)

    def test_turn_that_has_not_run_costs_nothing(self):
        account = budget()
        account.reserve_turn(0.0, "1", 60)
        account.not_run("1")
        assert (account.reserved_tokens, account.n_turns) == (0, 0)

    def test_negative_tokens_are_refused(self):
        with pytest.raises(ValueError, match="got tokens=-1"):
            budget().reserve_turn(0.0, "1", -1)


class TestLoops:
    def test_turns_end_a_loop_that_spends_little(self):
        account = budget()
        for n in range(10):
            account.reserve_turn(0.0, str(n), 1)
            account.settle(str(n), 0)
        assert account.reserve_turn(0.0, "11", 1).limit is BudgetLimit.TURNS

    def test_calls_end_a_loop_without_turns(self):
        account = budget()
        answers = [account.reserve_call(0.0) for _ in range(6)]
        assert answers[:5] == [Reserved(0)] * 5
        assert answers[5].limit is BudgetLimit.CALLS

    def test_time_ends_a_program_that_waits_for_ever(self):
        account = budget()
        refused = account.reserve_turn(60.0, "1", 1)
        assert isinstance(refused, BudgetRefused)
        assert refused.limit is BudgetLimit.TIME


class TestTakeover:
    def test_in_flight_turns_are_unknown_to_the_next_holder(self):
        """The holder dies in the middle of a turn. The next one can't know what it
        spent, and must not hand that part out again.
        """
        account = budget()
        account.reserve_turn(5.0, "1", 60)
        row = account.to_row(10.0)
        taken = ProgramBudget.from_row(LIMITS, row, 1000.0)
        assert taken.reserve_turn(1000.0, "2", 60).final
        assert taken.reserve_turn(1049.0, "3", 10) == Reserved(10)
        assert isinstance(taken.reserve_turn(1050.0, "4", 1), BudgetRefused)

    def test_limits_come_from_the_profile(self):
        account = ProgramBudget.from_config(Profile("p", budget_tokens=7), 0.0)
        assert account.reserve_turn(0.0, "1", 8).limit is BudgetLimit.TOKENS
