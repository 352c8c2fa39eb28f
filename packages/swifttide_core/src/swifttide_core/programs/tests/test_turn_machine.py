"""The steps of a turn, where a rare order of events decides."""

from dataclasses import replace

from swifttide_core.documents import Profile
from swifttide_core.programs import (
    ChunkStored,
    ModelAnswered,
    ProgramRow,
    ProgramState,
    PutChunk,
    RefuseRequest,
    RowsConflict,
    RowsRead,
    RowsWritten,
    Turn,
    TurnRequest,
    WriteRows,
    start_turn,
    step_turn,
)
from swifttide_core.verdicts import Reason, Verdict

PROFILE = Profile("night", budget_tokens=100)
ROW = ProgramRow("khuslen", "box", "box")


def turn(attempt="t1", holder="a/7/1"):
    request = TurnRequest(1, "hash")
    return Turn(attempt, holder, "a", request, ROW, ROW, PROFILE, tokens=10)


def run(state, *events):
    actions = ()
    for event in events:
        step = step_turn(state, event)
        state, actions = step.state, step.actions
    return state, actions


def committing():
    """Return a turn whose commit met a conflict, and the row that it reserved in."""
    state, (reserve,) = run(start_turn(turn()).state, RowsRead((None,)))
    (reserved,) = reserve.rows
    state, _ = run(
        state,
        RowsWritten((1,)),
        ModelAnswered(4),
        ChunkStored(),
        RowsConflict(),
    )
    return state, replace(reserved, version=2)


class TestTurnMachine:
    def test_other_zone_took_the_program_over(self):
        """A cut lets the other zone serve the program while a turn runs here. It has
        counted the reservation as spent; settled here once more, it would be free a
        second time and the program would spend more than its budget.
        """
        state, row = committing()
        row = replace(row, holder="b/7/1", term=2, budget_reserved=10, budget_used=10)
        _, (refuse,) = run(state, RowsRead((row,)))
        assert refuse.refusal.reason is Reason.NOT_HOLDER
        assert refuse.refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_program_came_back_from_the_other_zone(self):
        """As before, but the program has come back to this zone while the turn was
        still running. The holder's name is the same again and the reservation is
        spent all the same. Found by `make fuzz`, seed 2678900627: the
        reservations fell to -10 tokens, which the next turns could spend.
        """
        state, row = committing()
        row = replace(row, term=3, budget_reserved=10, budget_used=20)
        _, (refuse,) = run(state, RowsRead((row,)))
        assert refuse.refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_tokens_left_over_from_another_term_are_spent(self):
        """A commit left tokens reserved for the next turn, and the program was at
        another zone in between, which counted them as spent. Used all the same, they
        let the program spend more than its budget.
        """
        row = replace(ROW, holder="a/7/1", term=3, budget_used=10, version=5)
        left = replace(turn(), ahead=10, ahead_term=1)
        (action,) = start_turn(left, known=(row,)).actions
        assert isinstance(action, WriteRows)
        assert action.rows[0].budget_reserved == 10

    def test_program_ended_meanwhile(self):
        """An operator ends a program while its turn runs. A turn that still lands
        would bring cache and history of a program back that was released.
        """
        state, row = committing()
        _, (refuse,) = run(state, RowsRead((replace(row, state=ProgramState.ENDED),)))
        assert isinstance(refuse, RefuseRequest)

    def test_number_was_taken_meanwhile(self):
        """Another turn of this number, with another body, is committed already. A
        second one under it would replace what its caller was given.
        """
        state, row = committing()
        row = replace(row, turns=1, last_body_hash="other", chunks=("c",))
        _, (refuse,) = run(state, RowsRead((row,)))
        assert isinstance(refuse, RefuseRequest)

    def test_sub_agent_settled_meanwhile(self):
        """A sub-agent settles on the same root between reservation and commit. The
        turn must land all the same, or the whole work is lost to the caller.
        """
        state, row = committing()
        row = replace(row, budget_used=7, budget_reserved=10)
        _, (commit,) = run(state, RowsRead((row,)))
        assert isinstance(commit, WriteRows)
        assert commit.rows[0].budget_used == 11
        assert commit.rows[0].budget_reserved == turn().tokens  # of the next

    def test_attempts_store_under_different_names(self):
        """Two hosts run the same turn. Under one name the second chunk would be
        refused or, worse, replace the answer that the first caller was given.
        """
        names = []
        for attempt in ("t1", "t2"):
            state = start_turn(turn(attempt)).state
            events = RowsRead((None,)), RowsWritten((1,)), ModelAnswered(4)
            _, (put,) = run(state, *events)
            assert isinstance(put, PutChunk)
            names.append(put.name)
        assert names[0] != names[1]
