"""The steps of a call that may not be repeated: read, write intent, send, record.

What goes wrong without it: the daemon's thread sends first and writes later, sends
again after a lost answer, or says ``not_run`` of a call that is on its way. A club
then pays twice, or believes that it hasn't paid. The steps are therefore a state
machine with one single way into `Dispatched` and none back, which the daemon, the
fuzzer and the replay share.

A leftover intent (its host died, or gave up while the platform was down) answers
``may_have_run`` to whoever sends the key again. An attempt that gave up before it
dispatched tries to mark its row ``not_run``, so that fewer keys end that way.
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
"""A renewal period: by then a host that lost the platform knows whether it is back."""

TARGET_RETRY_SECONDS = 1.0
"""A restarted service listens again within about this."""


@dataclass(frozen=True, slots=True)
class CallStep:
    """State after an event, and what is to be done next, in order."""

    state: CallState
    actions: tuple[CallAction, ...] = ()


def start_call(wanted: IntentRow) -> CallStep:
    """Begin a call; `wanted.attempt` must be new and known to nobody else."""
    return CallStep(Reading(wanted), (ReadRow(wanted.key),))


def step_call(state: CallState, event: CallEvent) -> CallStep:
    """Return the next step of a call.

    Parameters
    ----------
    state : CallState
        How far the call has got.
    event : CallEvent
        What happened; an event that the state doesn't wait for changes nothing, so
        that late and duplicated answers do no harm.
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
        # Its write took effect and the answer was lost. This attempt is still
        # reading, so it has dispatched nothing: the intent is there to be used.
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
            # The write may have taken effect, or may still.
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
            # Whatever the reason says, bytes may be out.
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
            # The caller needn't wait for the journal: what it is told is true
            # already. The shell goes on trying, pausing longer each time.
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
