"""Turns of a program run once each, in order."""

from dataclasses import replace

from swifttide_core.programs import (
    ProgramRow,
    ProgramState,
    RefuseTurn,
    ReplayTurn,
    RunTurn,
    TurnRequest,
    decide_turn,
)
from swifttide_core.verdicts import Reason, Verdict

ROW = ProgramRow(
    "c", "p", "p", turns=2, last_body_hash="two", chunks=("chunk1", "chunk2")
)


class TestDecideTurn:
    def test_next_turn_runs(self):
        assert decide_turn(ROW, TurnRequest(3, "three")) == RunTurn(3)
        assert decide_turn(ROW, TurnRequest(None, "three")) == RunTurn(3)

    def test_repeated_turn_gets_its_stored_answer(self):
        """The caller's connection broke after the turn was committed. When the caller
        sends the turn again, it must get the stored answer instead of a second run.
        """
        assert decide_turn(ROW, TurnRequest(2, "two")) == ReplayTurn(2, "chunk2")

    def test_different_body_for_a_committed_turn_is_refused(self):
        decision = decide_turn(ROW, TurnRequest(2, "other"))
        assert isinstance(decision, RefuseTurn)
        assert decision.refusal.verdict is Verdict.NOT_RUN

    def test_early_turn_is_refused_with_retry_delay(self):
        decision = decide_turn(ROW, TurnRequest(4, "four"))
        assert decision.refusal.reason is Reason.OUT_OF_ORDER
        assert decision.refusal.retry_after_seconds > 0

    def test_gap_is_accepted_after_turns_ran_unrecorded(self):
        """The platform was unreachable during some turns of a program whose history its
        caller holds. Refusing the next turn would end the program for good.
        """
        assert decide_turn(ROW, TurnRequest(5, "five", gaps=True)) == RunTurn(5)

    def test_ended_program_answers_from_history_only(self):
        ended = replace(ROW, state=ProgramState.ENDED)
        assert decide_turn(ended, TurnRequest(2, "two")) == ReplayTurn(2, "chunk2")
        decision = decide_turn(ended, TurnRequest(3, "three"))
        assert decision.refusal.reason is Reason.PROGRAM_ENDED
