"""State machine of a non-repeatable call: read, write intent, send, record.

`start_call` and `step_call` are pure functions: they take events and return the next
state and the actions to perform. The daemon, the fuzz tests and the replay of traces
share them. A daemon that sent the call before it wrote the intent, sent it again after
a lost answer, or reported ``not_run`` for a call in progress would make a customer pay
twice, or believe that a payment wasn't made. The machine therefore dispatches only once
an intent of its own attempt is stored, and no transition leads from `Dispatched` back
to an earlier state.

An intent without an outcome remains if its host died, or gave up while the platform was
unreachable. Later calls with the same key are answered with ``may_have_run``. To keep
such intents rare, an attempt that gives up before it dispatches tries to mark its row
``not_run``.
"""

from dataclasses import dataclass, replace

from swifttide_core.intents._call_action import (
    CallAction,
    Dispatch,
    ReadRow,
    Refuse,
    Reply,
    WriteRow,
)
from swifttide_core.intents._call_event import (
    CallEvent,
    GaveUp,
    PlatformFailed,
    RowConflict,
    RowRead,
    RowWritten,
    TargetAnswered,
    TargetSilent,
    TargetUnreached,
)
from swifttide_core.intents._call_state import (
    CallState,
    Dispatched,
    Finished,
    Reading,
    Recording,
    Undoing,
    Writing,
)
from swifttide_core.intents._intent_row import IntentRow, IntentState
from swifttide_core.intents._intent_rules import (
    RefuseIntent,
    ReplayStoredAnswer,
    WriteIntent,
    decide_intent,
)
from swifttide_core.verdicts import Reason, Refusal, Verdict

PLATFORM_RETRY_SECONDS = 2.0
"""Renewal period of leases. Within it, a host that lost its connection to the platform
finds out whether the platform is reachable again."""

TARGET_RETRY_SECONDS = 1.0
"""Approximate time until a restarted service accepts connections again."""


@dataclass(frozen=True, slots=True)
class CallStep:
    """State after an event, and the actions to perform next, in order."""

    state: CallState
    actions: tuple[CallAction, ...] = ()


def start_call(wanted: IntentRow) -> CallStep:
    """Return the first step of a call.

    Parameters
    ----------
    wanted : IntentRow
        Row of the call. Its attempt id must be new and unique.
    """
    return CallStep(Reading(wanted), (ReadRow(wanted.key),))


def step_call(state: CallState, event: CallEvent) -> CallStep:
    """Return the next step of a call.

    Parameters
    ----------
    state : CallState
        State before the event.
    event : CallEvent
        An event that the state doesn't expect changes nothing, so that late and
        duplicated answers do no harm.
    """
    match state:
        case Reading():
            return _step_reading(state, event)
        case Writing():
            return _step_writing(state, event)
        case Dispatched():
            return _step_dispatched(state, event)
        case Recording():
            return _step_recording(state, event)
        case Undoing():
            return _step_undoing(state, event)
        case Finished():
            return CallStep(state)


def _step_reading(state: Reading, event: CallEvent) -> CallStep:
    match event:
        case RowRead(row):
            return _decide(row, state.wanted)
        case PlatformFailed():
            return CallStep(Finished(), (Refuse(_platform_unavailable()),))
        case GaveUp(refusal):
            return CallStep(Finished(), (Refuse(refusal),))
        case _:
            return CallStep(state)


def _decide(known: IntentRow | None, wanted: IntentRow) -> CallStep:
    if known is not None and _is_own_intent(known, wanted):
        # The write of this attempt took effect, but its answer was lost. The attempt
        # hasn't dispatched yet, since it is still reading, so it may dispatch now.
        return CallStep(Dispatched(known), (Dispatch(known),))
    match decide_intent(known, wanted):
        case WriteIntent(row):
            return CallStep(Writing(row), (_write_intent(row),))
        case ReplayStoredAnswer(row):
            return CallStep(Finished(), (Reply(row),))
        case RefuseIntent(refusal):
            return CallStep(Finished(), (Refuse(refusal),))


def _is_own_intent(known: IntentRow, wanted: IntentRow) -> bool:
    return known.attempt == wanted.attempt and known.state is IntentState.INTENT


def _step_writing(state: Writing, event: CallEvent) -> CallStep:
    row = state.row
    match event:
        case RowWritten(version):
            row = replace(row, version=version)
            return CallStep(Dispatched(row), (Dispatch(row),))
        case RowConflict():
            return CallStep(Reading(replace(row, version=0)), (ReadRow(row.key),))
        case PlatformFailed():
            return CallStep(state, (_write_intent(row),))
        case GaveUp(refusal):
            # The write may have taken effect, or may still do so.
            undo = replace(row, state=IntentState.NOT_RUN)
            return CallStep(Undoing(undo), (Refuse(refusal), _write_undo(undo)))
        case _:
            return CallStep(state)


def _step_dispatched(state: Dispatched, event: CallEvent) -> CallStep:
    row = state.row
    match event:
        case TargetAnswered(status, answer, content_type):
            done = replace(
                row,
                state=IntentState.DONE,
                status=status,
                answer=answer,
                content_type=content_type,
            )
            return CallStep(Recording(done, Reply(done)), (_write_outcome(done),))
        case TargetUnreached(refusal):
            not_run = replace(row, state=IntentState.NOT_RUN)
            refuse = Refuse(refusal or _no_target())
            return CallStep(Recording(not_run, refuse), (_write_outcome(not_run),))
        case GaveUp(refusal):
            # The reason assumes that nothing was sent, but bytes may have been.
            refusal = refusal.with_verdict(Verdict.MAY_HAVE_RUN)
            return CallStep(Finished(), (Refuse(refusal),))
        case TargetSilent():
            return CallStep(Finished(), (Refuse(_silent_target()),))
        case _:
            return CallStep(state)


def _step_recording(state: Recording, event: CallEvent) -> CallStep:
    row = state.row
    replies = () if state.pending_reply is None else (state.pending_reply,)
    match event:
        case RowWritten() | RowConflict():
            return CallStep(Finished(), replies)
        case PlatformFailed():
            # The caller needn't wait for the journal, as its answer is final already.
            # The runner repeats the write, with a longer pause each time.
            return CallStep(Recording(row, None), (*replies, _write_outcome(row)))
        case GaveUp():
            return CallStep(Finished(), replies)
        case _:
            return CallStep(state)


def _step_undoing(state: Undoing, event: CallEvent) -> CallStep:
    row = state.row
    match event:
        case RowConflict():
            return CallStep(state, (ReadRow(row.key),))
        case RowRead(known) if known is not None and _is_own_intent(known, row):
            undo = replace(known, state=IntentState.NOT_RUN)
            return CallStep(Undoing(undo), (_write_undo(undo),))
        case PlatformFailed():
            return CallStep(state, (_write_undo(row),))
        case RowWritten() | RowRead() | GaveUp():
            return CallStep(Finished())
        case _:
            return CallStep(state)


def _write_intent(row: IntentRow) -> WriteRow:
    return WriteRow(row, f"{row.attempt}:{row.version}:intent")


def _write_outcome(row: IntentRow) -> WriteRow:
    return WriteRow(row, f"{row.attempt}:{row.version}:outcome")


def _write_undo(row: IntentRow) -> WriteRow:
    return WriteRow(row, f"{row.attempt}:{row.version}:undo")


def _platform_unavailable() -> Refusal:
    return Refusal(
        Reason.PLATFORM_UNAVAILABLE,
        "the journal can't be read, so the call wasn't sent",
        retry_after_seconds=PLATFORM_RETRY_SECONDS,
    )


def _no_target() -> Refusal:
    return Refusal(
        Reason.NO_TARGET,
        "no connection to the service; nothing was sent",
        retry_after_seconds=TARGET_RETRY_SECONDS,
    )


def _silent_target() -> Refusal:
    return Refusal(
        Reason.TARGET_FAILED,
        "the call was sent and no answer came back; look at the service before "
        "placing a new order",
        verdict=Verdict.MAY_HAVE_RUN,
    )
