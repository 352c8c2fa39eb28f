"""A root's budget holds over its sub-agents and over deaths of hosts."""

from swifttide_core.documents import Profile
from swifttide_core.programs import ProgramRow, keep_unknown, reserve, settle
from swifttide_core.verdicts import Reason

PROFILE = Profile("p", budget_tokens=100, max_turns=3)
ROOT = ProgramRow("c", "p", "p")


class TestReserve:
    def test_turns_in_flight_count(self):
        """Sub-agents run side by side. Checked against settled tokens alone, each
        would find the budget free and together they would overspend it.
        """
        row = reserve(ROOT, PROFILE, 60).ok
        refused = reserve(row, PROFILE, 60)
        assert refused.error.reason is Reason.BUDGET

    def test_settled_turn_frees_what_it_did_not_use(self):
        row = settle(reserve(ROOT, PROFILE, 60).ok, reserved=60, used=10)
        assert reserve(row, PROFILE, 90).is_ok()
        assert reserve(row, PROFILE, 91).is_error()

    def test_looping_program_runs_out_of_turns(self):
        row = ROOT
        for _ in range(PROFILE.max_turns):
            row = settle(reserve(row, PROFILE, 1).ok, reserved=1, used=0)
        assert reserve(row, PROFILE, 1).error.reason is Reason.BUDGET


class TestKeepUnknown:
    def test_dead_holders_reservation_stays_spent(self):
        """A host dies while a turn streams. The tokens that the engine made are on
        the bill; a new holder that forgot them would let the program overspend.
        """
        row = keep_unknown(reserve(ROOT, PROFILE, 60).ok)
        assert (row.budget_used, row.budget_reserved) == (60, 0)
        assert reserve(row, PROFILE, 41).is_error()
