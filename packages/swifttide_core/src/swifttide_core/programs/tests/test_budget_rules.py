"""The budget of a root program, shared by sub-agents and kept when hosts die."""

from swifttide_core.documents import Profile
from swifttide_core.programs import (
    ProgramRow,
    check_limits,
    count_unknown_as_spent,
    reserve,
    settle,
)
from swifttide_core.verdicts import Reason

PROFILE = Profile("p", budget_tokens=100, max_turns=3)
ROOT = ProgramRow("c", "p", "p")


class TestReserve:
    def test_reservations_of_turns_in_flight_count(self):
        """Sub-agents run concurrently. If only settled tokens were checked, each would
        find the budget free, and together they would exceed it.
        """
        row = reserve(ROOT, PROFILE, 60).ok
        refused = reserve(row, PROFILE, 60)
        assert refused.error.reason is Reason.BUDGET

    def test_settling_releases_unused_tokens(self):
        row = settle(reserve(ROOT, PROFILE, 60).ok, reserved=60, used=10)
        assert reserve(row, PROFILE, 90).is_ok()
        assert reserve(row, PROFILE, 91).is_error()

    def test_program_exceeds_its_turn_limit(self):
        row = ROOT
        for _ in range(PROFILE.max_turns):
            row = settle(reserve(row, PROFILE, 1).ok, reserved=1, used=0)
        assert reserve(row, PROFILE, 1).error.reason is Reason.BUDGET


class TestCountUnknownAsSpent:
    def test_reservation_of_dead_holder_counts_as_spent(self):
        """A host dies while a turn streams. The tokens that the engine generated are
        charged; a new holder that ignored them would let the program exceed its budget.
        """
        row = count_unknown_as_spent(reserve(ROOT, PROFILE, 60).ok)
        assert (row.budget_used, row.budget_reserved) == (60, 0)
        assert reserve(row, PROFILE, 41).is_error()


class TestCheckLimits:
    def test_program_exceeds_its_time_limit(self):
        """A tool never answers, and the program retries for days. Its turns are few and
        short, so neither the token nor the turn limit would end it.
        """
        profile = Profile("p", max_program_seconds=60)
        row = ProgramRow("c", "p", "p", started_at=1000.0)
        assert check_limits(row, profile, now=1060.0) is None
        assert check_limits(row, profile, now=1061.0).reason is Reason.BUDGET

    def test_calls_since_last_commit_count(self):
        """A program loops over calls to a service between two turns."""
        profile = Profile("p", max_calls=5)
        row = ProgramRow("c", "p", "p", root_calls=3)
        assert check_limits(row, profile, now=0.0, calls=1) is None
        assert check_limits(row, profile, now=0.0, calls=2).reason is Reason.BUDGET
