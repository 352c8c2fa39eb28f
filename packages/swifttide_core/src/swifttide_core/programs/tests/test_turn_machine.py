"""The turn's state machine under rare orders of events."""

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
    """Return a state after a commit conflict, and the row with its reservation."""
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
        """During a network partition another zone serves the program while a turn runs
        here, and counts the turn's reservation as spent. Settling it here as well would
        release it a second time, and the program could exceed its budget.
        """
        state, row = turn_after_commit_conflict()
        row = replace(row, holder="b/7/1", term=2, budget_reserved=10, budget_used=10)
        _, (refuse,) = apply_events(state, RowsRead((row,)))
        assert refuse.refusal.reason is Reason.NOT_HOLDER
        assert refuse.refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_turn_is_refused_after_program_moved_away_and_back(self):
        """As above, but the program has moved back to this zone while the turn was
        still running. The holder's name is the same again, but the reservation has been
        counted as spent. Found by `make fuzz`, seed 2678900627: the reservations fell
        to -10 tokens, which the next turns could spend.
        """
        state, row = turn_after_commit_conflict()
        row = replace(row, term=3, budget_reserved=10, budget_used=20)
        _, (refuse,) = apply_events(state, RowsRead((row,)))
        assert refuse.refusal.verdict is Verdict.MAY_HAVE_RUN

    def test_tokens_reserved_in_an_earlier_term_are_not_reused(self):
        """A commit left tokens reserved for the next turn. Another zone served the
        program in between and counted them as spent. If they were used nevertheless,
        the program could exceed its budget.
        """
        row = replace(ROW, holder="a/7/1", term=3, budget_used=10, version=5)
        left = replace(make_turn(), ahead=10, ahead_term=1)
        (action,) = start_turn(left, known=(row,)).actions
        assert isinstance(action, WriteRows)
        assert action.rows[0].budget_reserved == 10

    def test_turn_is_refused_if_program_ended_while_it_ran(self):
        """An operator ends a program while its turn runs. If the turn were committed,
        the cache and history of a program that was released would reappear.
        """
        state, row = turn_after_commit_conflict()
        _, (refuse,) = apply_events(
            state, RowsRead((replace(row, state=ProgramState.ENDED),))
        )
        assert isinstance(refuse, RefuseRequest)

    def test_turn_is_refused_if_its_number_was_committed_meanwhile(self):
        """Another turn with this number and a different body is already committed.
        Committing a second one would replace an answer that a caller has received.
        """
        state, row = turn_after_commit_conflict()
        row = replace(row, turns=1, last_body_hash="other", chunks=("c",))
        _, (refuse,) = apply_events(state, RowsRead((row,)))
        assert isinstance(refuse, RefuseRequest)

    def test_commit_is_retried_after_a_sub_agent_settled(self):
        """A sub-agent of the same root commits between the turn's reservation and its
        commit. The turn must be committed nevertheless, or its work is lost.
        """
        state, row = turn_after_commit_conflict()
        row = replace(row, budget_used=7, budget_reserved=10)
        _, (commit,) = apply_events(state, RowsRead((row,)))
        assert isinstance(commit, WriteRows)
        assert commit.rows[0].budget_used == 11
        assert commit.rows[0].budget_reserved == make_turn().tokens  # of the next

    def test_attempts_store_chunks_under_different_names(self):
        """Two hosts run the same turn. If the names were equal, the second chunk would
        be refused or would replace the answer that a caller has received.
        """
        names = []
        for attempt in ("t1", "t2"):
            state = start_turn(make_turn(attempt)).state
            events = RowsRead((None,)), RowsWritten((1,)), ModelAnswered(4)
            _, (put,) = apply_events(state, *events)
            assert isinstance(put, PutChunk)
            names.append(put.name)
        assert names[0] != names[1]
