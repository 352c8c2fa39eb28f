"""Tests of grants of a program's tokens and of their use at a host."""

import pytest

from swifttide_core.budgets import (
    IDLE_SECONDS,
    Exhausted,
    Granted,
    IdlePrograms,
    ProgramAccount,
    TokenPool,
    grant_tokens,
)


class TestGrants:
    def test_host_gets_two_turns_of_any_budget(self):
        """Guards against large parts of a budget that are lost with one host."""
        match grant_tokens(ProgramAccount(25_400), "h1", 30, 30):
            case Granted(tokens, account):
                assert tokens == 60
                assert account == ProgramAccount(25_400, 60, ("h1",))
        match grant_tokens(ProgramAccount(100), "h1", 30, 30):
            case Granted(tokens, _):
                assert tokens == 60

    def test_one_turn_is_left_for_another_host(self):
        match grant_tokens(ProgramAccount(60), "h1", 30, 30):
            case Granted(tokens, _):
                assert tokens == 30
        match grant_tokens(ProgramAccount(45), "h1", 30, 30):
            case Granted(tokens, _):
                assert tokens == 30

    def test_grant_does_not_exceed_the_remainder(self):
        account = ProgramAccount(100, 60, ("h1",))
        match grant_tokens(account, "h2", 30, 30):
            case Granted(tokens, account):
                assert tokens == 30
                assert account.granted == 90
                assert account.holders == ("h1", "h2")

    def test_loans_beyond_the_budget_overdraw_it(self):
        account = ProgramAccount(100, 60, ("h1",))
        assert not account.with_loans_charged(40, ("h2",)).is_overdrawn
        assert account.with_loans_charged(41, ("h2",)).is_overdrawn
        assert account.with_loans_charged(41, ("h2",)).holders == ("h1", "h2")

    def test_remainder_below_one_turn_is_exhausted(self):
        account = ProgramAccount(100, 80, ("h1",))
        assert grant_tokens(account, "h1", 30, 30) == Exhausted(account)

    def test_returned_tokens_are_granted_again(self):
        account = ProgramAccount(100, 60, ("h1", "h2"))
        account = account.with_tokens_returned(20, "h1", "")
        assert account == ProgramAccount(100, 40, ("h2",))

    def test_host_that_returns_tokens_names_the_one_that_has_others(self):
        """Guards against tokens out of reach behind a host that is asked no more."""
        account = ProgramAccount(100, 60, ("h1", "h2"))
        assert account.with_tokens_returned(20, "h1", "h3").holders == ("h2", "h3")
        assert account.with_tokens_returned(20, "h1", "h2").holders == ("h2",)
        assert account.with_tokens_returned(20, "h1", "h1").holders == ("h2",)

    @pytest.mark.parametrize("budget", [1, 29, 30, 31, 90, 858, 10_000])
    def test_program_in_a_loop_gets_at_most_its_budget(self, budget):
        account, total = ProgramAccount(budget), 0
        while isinstance(found := grant_tokens(account, "h1", 30, 30), Granted):
            account = found.account
            total += found.tokens
        assert total <= budget


class TestTokenPool:
    def test_turn_returns_unused_tokens(self):
        pool = TokenPool()
        pool.add(60)
        assert pool.reserve(30)
        assert pool.reserve(30)
        assert not pool.reserve(30)
        pool.settle(30, 10)
        assert pool.free == 20

    def test_withdrawal_keeps_reserved_tokens(self):
        pool = TokenPool()
        pool.add(60)
        pool.reserve(30)
        assert pool.withdraw() == 30
        pool.settle(30, 10)
        assert pool.free == 20

    def test_withdrawal_of_a_part(self):
        pool = TokenPool()
        pool.add(60)
        assert (pool.withdraw(20), pool.free) == (20, 40)
        assert (pool.withdraw(50), pool.free) == (40, 0)

    def test_turn_that_exceeds_its_reservation(self):
        pool = TokenPool()
        pool.add(60)
        pool.reserve(30)
        pool.settle(30, 45)
        assert pool.free == 15
        assert pool.withdraw() == 15


class TestIdlePrograms:
    def test_programs_are_idle_some_time_after_their_last_turn(self):
        programs = IdlePrograms()
        programs.touch("a", 1.0)
        programs.touch("b", 1.2)
        programs.touch("a", 1.5)
        assert list(programs.pop_idle(1.0 + IDLE_SECONDS)) == []
        assert list(programs.pop_idle(1.3 + IDLE_SECONDS)) == ["b"]
        assert list(programs.pop_idle(1.5 + IDLE_SECONDS)) == ["a"]
        assert list(programs.pop_idle(100.0)) == []
