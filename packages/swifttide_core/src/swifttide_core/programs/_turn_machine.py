"""State machine of a chat turn: read, reserve, run, store, commit, answer.

`start_turn` and `step_turn` are pure functions: they take events and return the next
state and the actions to perform. The machine prevents two faults. If the caller got the
final event before the turn is committed and the host died in between, the next turn
would continue from a history without it. If a paused holder committed after its
successor did, one of two answers would be lost.

The final event is therefore sent only after one transaction, conditional on the
versions of the program's rows and on the slot, has taken effect. The chunk to which it
refers is stored before. A chunk's name contains the id of its attempt, so that no
attempt can overwrite the chunk of another.

The outcome of a write whose answer was lost is determined by sending the same
transaction again, which returns the first outcome. If the outcome of a turn remains
unknown, the caller is told ``may_have_run``. Sending the same turn again then either
returns the stored answer or runs the turn.
"""

from dataclasses import dataclass, replace

from swifttide_core.programs._budget_rules import (
    check_limits,
    count_unknown_as_spent,
    reserve,
    settle,
)
from swifttide_core.programs._program_row import ProgramRow, ProgramState
from swifttide_core.programs._turn import Turn
from swifttide_core.programs._turn_action import (
    PutChunk,
    ReadRows,
    RefuseRequest,
    ReplyTurn,
    RunModel,
    TurnAction,
    WriteRows,
)
from swifttide_core.programs._turn_event import (
    ChunkStored,
    ModelAnswered,
    ModelFailed,
    ModelUnreached,
    RowsConflict,
    RowsRead,
    RowsWritten,
    SlotLost,
    StoreFailed,
    TurnEvent,
    TurnGivenUp,
)
from swifttide_core.programs._turn_order import (
    RefuseTurn,
    ReplayTurn,
    RunTurn,
    decide_turn,
)
from swifttide_core.programs._turn_state import (
    Committing,
    ReadingRows,
    Releasing,
    Reserving,
    Running,
    Settled,
    Storing,
    TurnState,
)
from swifttide_core.verdicts import Reason, Refusal, Verdict

PLATFORM_RETRY_SECONDS = 2.0
"""Renewal period of leases. Within it, a host that lost its connection to the platform
finds out whether the platform is reachable again."""

HOLDER_CHANGE_RETRY_SECONDS = 0.5
"""Time within which a new holder answers: claiming a slot takes one transaction."""


@dataclass(frozen=True, slots=True)
class TurnStep:
    """State after an event, and the actions to perform next, in order."""

    state: TurnState
    actions: tuple[TurnAction, ...] = ()


def start_turn(
    turn: Turn, known: tuple[ProgramRow | None, ...] | None = None
) -> TurnStep:
    """Return the first step of a turn.

    No other turn of its program may be in progress at this host.

    Parameters
    ----------
    turn : Turn
    known : tuple of ProgramRow or None, or None
        The turn's rows as this host last read or wrote them. They may be outdated, as
        another zone may have served the program since. A turn that runs on outdated
        rows fails at its commit. If these rows would lead to a refusal or a stored
        answer, the rows are read again before the decision.
    """
    if known is not None:
        step = _decide(turn, *_program_and_root(turn, known))
        if not isinstance(step.state, Settled):
            return step
    return TurnStep(ReadingRows(turn), (ReadRows(turn.row_keys),))


def step_turn(state: TurnState, event: TurnEvent) -> TurnStep:
    """Return the next step of a turn.

    Parameters
    ----------
    state : TurnState
        State before the event.
    event : TurnEvent
        An event that the state doesn't expect changes nothing, so that late and
        duplicated answers do no harm.
    """
    match state:
        case ReadingRows():
            return _step_reading(state, event)
        case Reserving():
            return _step_reserving(state, event)
        case Running():
            return _step_running(state, event)
        case Storing():
            return _step_storing(state, event)
        case Committing():
            return _step_committing(state, event)
        case Releasing():
            return _step_releasing(state, event)
        case Settled():
            return TurnStep(state)


def _refuse(refusal: Refusal) -> TurnStep:
    return TurnStep(Settled(), (RefuseRequest(refusal),))


def _step_reading(state: ReadingRows, event: TurnEvent) -> TurnStep:
    match event:
        case RowsRead(rows):
            return _decide(state.turn, *_program_and_root(state.turn, rows))
        case StoreFailed():
            return _refuse(_platform_unavailable())
        case SlotLost():
            return _refuse(_not_holder())
        case TurnGivenUp(refusal):
            return _refuse(refusal)
        case _:
            return TurnStep(state)


def _program_and_root(
    turn: Turn, rows: tuple[ProgramRow | None, ...]
) -> tuple[ProgramRow, ProgramRow]:
    root = rows[-1] or turn.new_root
    if turn.new_program.is_root:
        return root, root
    return rows[0] or turn.new_program, root


def _decide(turn: Turn, program: ProgramRow, root: ProgramRow) -> TurnStep:
    match decide_turn(program, turn.request):
        case ReplayTurn(number, chunk):
            return TurnStep(Settled(), (ReplyTurn(number, chunk),))
        case RefuseTurn(refusal):
            return _refuse(refusal)
        case RunTurn(number):
            return _reserve(turn, number, program, root)


def _reserve(
    turn: Turn, number: int, program: ProgramRow, root: ProgramRow
) -> TurnStep:
    if root.state is ProgramState.ENDED:
        return _refuse(Refusal(Reason.PROGRAM_ENDED, "the root program has ended"))
    beyond = check_limits(root, turn.profile, turn.now, turn.calls)
    if beyond is not None:
        return _refuse(beyond)
    if root.holder != turn.holder:
        root = count_unknown_as_spent(root)
        root = replace(root, holder=turn.holder, term=root.term + 1)
    if root.term != turn.ahead_term:
        # Another holder has served the program since, and has counted the tokens that
        # were left reserved as spent.
        turn = replace(turn, ahead=0)
    result = reserve(root, turn.profile, turn.tokens_to_reserve)
    if result.is_error():
        return _refuse(result.error)
    if turn.tokens_to_reserve == 0:
        return _run(turn, number, program, root)
    state = Reserving(turn, number, program, result.ok)
    return TurnStep(state, (_write_reservation(state),))


def _run(turn: Turn, number: int, program: ProgramRow, root: ProgramRow) -> TurnStep:
    running = Running(turn, number, program, root)
    return TurnStep(running, (RunModel(number, program.chunks),))


def _write_reservation(state: Reserving) -> WriteRows:
    transaction = f"{state.turn.attempt}:{state.root.version}:reserve"
    return WriteRows((state.root,), transaction)


def _step_reserving(state: Reserving, event: TurnEvent) -> TurnStep:
    turn = state.turn
    match event:
        case RowsWritten((version,)):
            root = replace(state.root, version=version)
            program = root if state.program.is_root else state.program
            return _run(turn, state.number, program, root)
        case RowsConflict():
            return start_turn(turn)
        case SlotLost():
            return _refuse(_not_holder())
        case StoreFailed():
            return TurnStep(state, (_write_reservation(state),))
        case TurnGivenUp(refusal):
            # The reservation may have been written; the next holder counts it as spent.
            return _refuse(refusal)
        case _:
            return TurnStep(state)


def _step_running(state: Running, event: TurnEvent) -> TurnStep:
    turn = state.turn
    match event:
        case ModelAnswered(used, target):
            storing = Storing(
                turn, state.number, state.program, state.root, used, target
            )
            return TurnStep(storing, (PutChunk(turn.chunk_name(state.number)),))
        case ModelUnreached(refusal):
            if turn.tokens_to_reserve == 0:
                return _refuse(refusal)
            freed = settle(state.root, turn.tokens_to_reserve, used=0, turns=0)
            return _write_release(Releasing(turn, freed, refusal))
        case ModelFailed():
            return _refuse(_unknown(Reason.TARGET_FAILED, "the engine didn't finish"))
        case TurnGivenUp(refusal):
            return _refuse(refusal.with_verdict(Verdict.MAY_HAVE_RUN))
        case _:
            return TurnStep(state)


def _step_storing(state: Storing, event: TurnEvent) -> TurnStep:
    match event:
        case ChunkStored():
            return _commit(state, state.program, state.root)
        case StoreFailed():
            return TurnStep(state, (PutChunk(state.turn.chunk_name(state.number)),))
        case TurnGivenUp(refusal):
            return _refuse(refusal.with_verdict(Verdict.MAY_HAVE_RUN))
        case _:
            return TurnStep(state)


def _commit(stored: Storing, program: ProgramRow, root: ProgramRow) -> TurnStep:
    turn = stored.turn
    root = settle(root, turn.reserved_tokens, stored.used_tokens)
    ahead = _tokens_to_keep_reserved(turn, root)
    root = replace(
        root,
        budget_reserved=root.budget_reserved + ahead,
        root_calls=root.root_calls + turn.calls,
    )
    if program.is_root:
        program = root
    program = replace(
        program,
        zone=turn.zone,
        turns=stored.number,
        last_body_hash=turn.request.body_hash,
        chunks=(*program.chunks, turn.chunk_name(stored.number)),
        total_tokens=program.total_tokens + stored.used_tokens,
        targets=_add_target(program.targets, stored.target),
    )
    rows = (program,) if program.is_root else (program, root)
    state = Committing(stored, rows, ahead)
    return TurnStep(state, (_write_commit(state),))


def _tokens_to_keep_reserved(turn: Turn, root: ProgramRow) -> int:
    left = turn.profile.budget_tokens - root.budget_used - root.budget_reserved
    return max(0, min(turn.tokens, left))


def _add_target(targets: tuple[str, ...], target: str) -> tuple[str, ...]:
    if not target or target in targets:
        return targets
    return (*targets, target)


def _write_commit(state: Committing) -> WriteRows:
    versions = "-".join(str(row.version) for row in state.rows)
    transaction = f"{state.stored.turn.attempt}:{versions}:commit"
    return WriteRows(state.rows, transaction)


def _step_committing(state: Committing, event: TurnEvent) -> TurnStep:
    stored = state.stored
    match event:
        case RowsWritten():
            return _reply(stored, state.ahead, state.rows[-1].term)
        case RowsConflict():
            # A sub-agent of the same root has committed, or another holder took over.
            read = ReadRows(stored.turn.row_keys)
            return TurnStep(replace(state, is_rereading=True), (read,))
        case RowsRead(rows) if state.is_rereading:
            return _retry_commit(stored, *_program_and_root(stored.turn, rows))
        case SlotLost():
            return _refuse(_unknown(Reason.NOT_HOLDER, "another host took over"))
        case StoreFailed() if state.is_rereading:
            return TurnStep(state, (ReadRows(stored.turn.row_keys),))
        case StoreFailed():
            return TurnStep(state, (_write_commit(state),))
        case TurnGivenUp(refusal):
            return _refuse(refusal.with_verdict(Verdict.MAY_HAVE_RUN))
        case _:
            return TurnStep(state)


def _retry_commit(stored: Storing, program: ProgramRow, root: ProgramRow) -> TurnStep:
    if stored.turn.chunk_name(stored.number) in program.chunks:
        return _reply(stored)
    match decide_turn(program, replace(stored.turn.request, turn=stored.number)):
        case ReplayTurn(number, chunk):
            # The caller has sent the turn again, and another host has committed it.
            return TurnStep(Settled(), (ReplyTurn(number, chunk),))
        case RefuseTurn():
            return _refuse(_unknown(Reason.OUT_OF_ORDER, "the program has moved on"))
    if root.term != stored.root.term:
        # The successor has counted this turn's reservation as spent; settling it here
        # would release it a second time.
        return _refuse(_unknown(Reason.NOT_HOLDER, "another host took over"))
    if root.state is ProgramState.ENDED:
        return _refuse(_unknown(Reason.PROGRAM_ENDED, "the root program has ended"))
    return _commit(stored, program, root)


def _reply(stored: Storing, ahead: int = 0, term: int = 0) -> TurnStep:
    name = stored.turn.chunk_name(stored.number)
    reply = ReplyTurn(stored.number, name, ahead, term)
    return TurnStep(Settled(), (reply,))


def _write_release(state: Releasing) -> TurnStep:
    transaction = f"{state.turn.attempt}:{state.root.version}:release"
    return TurnStep(state, (WriteRows((state.root,), transaction),))


def _step_releasing(state: Releasing, event: TurnEvent) -> TurnStep:
    match event:
        case RowsWritten() | RowsConflict() | SlotLost() | TurnGivenUp():
            # After a conflict the reservation remains, which wastes tokens but is safe.
            return _refuse(state.refusal)
        case StoreFailed():
            # Another attempt to release could delay the refusal, which is true already.
            return _refuse(state.refusal)
        case _:
            return TurnStep(state)


def _platform_unavailable() -> Refusal:
    return Refusal(
        Reason.PLATFORM_UNAVAILABLE,
        "the program's row can't be read, so the turn wasn't sent",
        retry_after_seconds=PLATFORM_RETRY_SECONDS,
    )


def _not_holder() -> Refusal:
    return Refusal(
        Reason.NOT_HOLDER,
        "another host has taken the program over",
        retry_after_seconds=HOLDER_CHANGE_RETRY_SECONDS,
    )


def _unknown(reason: Reason, detail: str) -> Refusal:
    return Refusal(
        reason,
        f"{detail}; send the same turn again to get its answer or to run it",
        verdict=Verdict.MAY_HAVE_RUN,
        retry_after_seconds=HOLDER_CHANGE_RETRY_SECONDS,
    )
