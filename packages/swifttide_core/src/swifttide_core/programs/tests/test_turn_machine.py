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


def make_turn(attempt="t1", holder="a/7/1"):
    request = TurnRequest(1, "hash")
    return Turn(attempt, holder, "a", request, ROW, ROW, PROFILE, tokens=10)


def apply_events(state, *events):
    actions = ()
    for event in events:
        step = step_turn(state, event)
        state, actions = step.state, step.actions
    return state, actions


def turn_after_commit_conflict():
    """Return a turn whose commit met a conflict, and the row that it reserved in."""
    state, (reserve,) = apply_events(start_turn(make_turn()).state, RowsRead((None,)))
    (reserved,) = reserve.rows
    state, _ = apply_events(
        state,
        RowsWritten((1,)),
        ModelAnswered(4),
        ChunkStored(),
        RowsConflict(),
    )
    return state, replace(reserved, version=2)


class TestTurnMachine:
    def test_turn_is_refused_after_another_zone_took_over(self):
        """A cut lets the other zone serve the program while a turn runs here. It has
        counted the reservation as spent; settled here once more, it would be free a
        second time and the program would spend more than its budget.
        """
        state, row = turn_after_commit_conflict()
        row = replace(row, holder="b/7/1", term=2, budget_reserved=10, budget_used=10)
        _, (refuse,) = apply_events(state, RowsRead((row,)))
        assert refuse.refusal.reason is Reason.NOT_HOLDER
        assert refuse.refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_turn_is_refused_after_program_moved_away_and_back(self):
        """As before, but the program has come back to this zone while the turn was
        still running. The holder's name is the same again and the reservation is
        spent all the same. Found by `make fuzz`, seed 2678900627: the
        reservations fell to -10 tokens, which the next turns could spend.
        """
        state, row = turn_after_commit_conflict()
        row = replace(row, term=3, budget_reserved=10, budget_used=20)
        _, (refuse,) = apply_events(state, RowsRead((row,)))
        assert refuse.refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_tokens_reserved_in_an_earlier_term_are_not_reused(self):
        """A commit left tokens reserved for the next turn, and the program was at
        another zone in between, which counted them as spent. Used all the same, they
        let the program spend more than its budget.
        """
        row = replace(ROW, holder="a/7/1", term=3, budget_used=10, version=5)
        left = replace(make_turn(), ahead=10, ahead_term=1)
        (action,) = start_turn(left, known=(row,)).actions
        assert isinstance(action, WriteRows)
        assert action.rows[0].budget_reserved == 10

    def test_turn_is_refused_if_program_ended_while_it_ran(self):
        """An operator ends a program while its turn runs. A turn that still lands
        would bring cache and history of a program back that was released.
        """
        state, row = turn_after_commit_conflict()
        _, (refuse,) = apply_events(
            state, RowsRead((replace(row, state=ProgramState.ENDED),))
        )
        assert isinstance(refuse, RefuseRequest)

    def test_turn_is_refused_if_its_number_was_committed_meanwhile(self):
        """Another turn of this number, with another body, is committed already. A
        second one under it would replace what its caller was given.
        """
        state, row = turn_after_commit_conflict()
        row = replace(row, turns=1, last_body_hash="other", chunks=("c",))
        _, (refuse,) = apply_events(state, RowsRead((row,)))
        assert isinstance(refuse, RefuseRequest)

    def test_commit_is_retried_after_a_sub_agent_settled(self):
        """A sub-agent settles on the same root between reservation and commit. The
        turn must land all the same, or the whole work is lost to the caller.
        """
        state, row = turn_after_commit_conflict()
        row = replace(row, budget_used=7, budget_reserved=10)
        _, (commit,) = apply_events(state, RowsRead((row,)))
        assert isinstance(commit, WriteRows)
        assert commit.rows[0].budget_used == 11
        assert commit.rows[0].budget_reserved == make_turn().tokens  # of the next

    def test_attempts_store_chunks_under_different_names(self):
        """Two hosts run the same turn. Under one name the second chunk would be
        refused or, worse, replace the answer that the first caller was given.
        """
        names = []
        for attempt in ("t1", "t2"):
            state = start_turn(make_turn(attempt)).state
            events = RowsRead((None,)), RowsWritten((1,)), ModelAnswered(4)
            _, (put,) = apply_events(state, *events)
            assert isinstance(put, PutChunk)
            names.append(put.name)
        assert names[0] != names[1]
