"""Runs a service call that may run at most once.

An intent row is written to the journal on the platform before the call is sent, and the
outcome afterwards. A repeated call with the same idempotency key finds the row and gets
the stored answer instead of running again. The state machine in
`swifttide_core.intents` decides each step; this module executes its actions.
"""

import threading
import time
from dataclasses import replace
from hashlib import sha256

import msgspec

from swifttide_core.intents import (
    CallAction,
    CallEvent,
    CallState,
    Dispatch,
    GaveUp,
    IntentRow,
    PlatformFailed,
    ReadRow,
    Refuse,
    Reply,
    RowConflict,
    RowRead,
    RowWritten,
    TargetAnswered,
    TargetSilent,
    TargetUnreached,
    WriteRow,
    start_call,
    step_call,
)
from swifttide_core.replay import CALL_MACHINE
from swifttide_core.retries import Retry
from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.calls import Call, Failed, Finished, RunningCall
from swifttide_daemon.recording import Recorder
from swifttide_daemon.runners._call_context import CallContext
from swifttide_daemon.runners._retry_budgets import RetryBudgets
from swifttide_daemon.runners._service_sender import ServiceSender
from swifttide_daemon.runners._unrecorded_calls import UnrecordedCalls
from swifttide_daemon.store import (
    Check,
    Committed,
    PlatformClient,
    Transaction,
    Write,
    new_id,
)

INTENTS_TABLE = "intents"
JOURNAL_TIMEOUT_SECONDS = 10.0
"""Time to retry writing the intent before the call is refused."""

JOURNAL_RETRY_SECONDS = 0.5
MAX_JOURNAL_RETRY_SECONDS = 10.0
OUTCOME_RETRY_LIMIT_SECONDS = 3600.0
"""Time to retry writing an outcome while the platform is unavailable."""

BODY_CODEC = "latin-1"
"""Maps each byte to one character, so any body fits in a JSON string."""


class JournaledCall:
    """Executes the actions of the state machine for one non-repeatable call.

    Parameters
    ----------
    sender : ServiceSender
    retries : RetryBudgets
    platform : PlatformClient
        Stores the journal.
    recorder : Recorder
    unrecorded : UnrecordedCalls
        Counts outcomes that are not in the journal yet.
    context : CallContext
    running : RunningCall
    traceparent : str
    """

    def __init__(
        self,
        sender: ServiceSender,
        retries: RetryBudgets,
        platform: PlatformClient,
        recorder: Recorder,
        unrecorded: UnrecordedCalls,
        context: CallContext,
        running: RunningCall,
        traceparent: str,
    ) -> None:
        self.sender = sender
        self.retries = retries
        self.platform = platform
        self.recorder = recorder
        self.unrecorded = unrecorded
        self.context = context
        self.running = running
        self.traceparent = traceparent
        self.journal_deadline = time.monotonic() + JOURNAL_TIMEOUT_SECONDS
        self.caller_answered = False

    def run(self) -> None:
        """Run the call; the caller gets the answer before the outcome is stored."""
        intent = _new_intent(self.context.call)
        step = start_call(intent)
        self.recording = self.recorder.record_start(
            CALL_MACHINE, (intent,), step.actions
        )
        state = step.state
        actions = list(step.actions)
        while actions:
            action = actions.pop(0)
            if isinstance(action, WriteRow) and self.caller_answered:
                # The caller has its answer. The outcome is written in the background,
                # so an outage of the platform does not block the program.
                self._write_in_background(state, action)
                return
            event = self._execute(action)
            if event is None:
                continue
            step = step_call(state, event)
            self.recording.record_step(event, step.actions)
            state = step.state
            actions.extend(step.actions)

    def _execute(self, action: CallAction) -> CallEvent | None:
        match action:
            case ReadRow(key):
                return self._read(key)
            case WriteRow():
                return self._write(action)
            case Dispatch():
                return self._dispatch()
            case Reply(row):
                self._answer_caller(_finished_event(row))
            case Refuse(refusal):
                self._answer_caller(Failed(refusal))
        return None

    def _answer_caller(self, event: Finished | Failed) -> None:
        self.caller_answered = True
        self.running.append(event)

    def _read(self, key: str) -> CallEvent:
        found = self.platform.read(INTENTS_TABLE, key)
        if found.is_error():
            return PlatformFailed()
        return RowRead(_intent_from_row(found.ok) if found.ok else None)

    def _write(self, action: WriteRow) -> CallEvent:
        if not self.caller_answered:
            refusal = self.context.refusal()
            if refusal is not None and action.transaction.endswith(":intent"):
                return GaveUp(refusal)
        event = self._write_once(action)
        if isinstance(event, PlatformFailed) and not self.caller_answered:
            if time.monotonic() >= self.journal_deadline:
                return GaveUp(_journal_unavailable())
            time.sleep(JOURNAL_RETRY_SECONDS)
        return event

    def _write_once(self, action: WriteRow) -> CallEvent:
        row = action.row
        value = msgspec.to_builtins(row)
        del value["version"]
        tx = Transaction(
            (Check(INTENTS_TABLE, row.key, row.version),),
            (Write(INTENTS_TABLE, row.key, value),),
            action.transaction,
        )
        outcome = self.platform.commit_grouped(tx)
        if outcome.is_error():
            return PlatformFailed()
        if isinstance(outcome.ok, Committed):
            return RowWritten(outcome.ok.versions[0])
        return RowConflict()

    def _dispatch(self) -> CallEvent:
        """Send the call; try another target only if nothing was sent to the first."""
        avoid: frozenset[str] = frozenset()
        n_attempts = 0
        while True:
            n_attempts += 1
            ticket_id = f"{self.context.call.request_id}-{n_attempts}"
            sent = self.sender.send(
                self.context,
                self.running,
                self.traceparent,
                ticket_id,
                avoid,
                reuse_connection=False,
            )
            if sent.is_ok():
                answer = sent.ok
                text = answer.body.decode(BODY_CODEC)
                return TargetAnswered(answer.status, text, answer.content_type)
            refusal, target = sent.error
            if refusal.verdict is not Verdict.NOT_RUN:
                return TargetSilent()
            if not target:
                return TargetUnreached(refusal)
            if n_attempts == 1:
                self.retries.record_first_attempt(target, self.context.call.customer)
            decision = self.retries.decide(
                refusal.verdict,
                repeatable=False,
                n_attempts=n_attempts,
                deadline=self.context.deadline,
                target=target,
                customer=self.context.call.customer,
            )
            if not isinstance(decision, Retry):
                return TargetUnreached(refusal)
            avoid |= {target}
            time.sleep(decision.after_seconds)

    def _write_in_background(self, state: CallState, action: WriteRow) -> None:
        self.unrecorded.increment()
        threading.Thread(
            target=self._run_background_write, args=(state, action), daemon=True
        ).start()

    def _run_background_write(self, state: CallState, action: WriteRow) -> None:
        try:
            self._retry_outcome_write(state, action)
        finally:
            self.unrecorded.decrement()

    def _retry_outcome_write(self, state: CallState, action: WriteRow) -> None:
        pause = JOURNAL_RETRY_SECONDS
        ends_at = time.monotonic() + OUTCOME_RETRY_LIMIT_SECONDS
        actions: list[CallAction] = [action]
        while actions and time.monotonic() < ends_at:
            event = self._execute(actions.pop(0))
            if event is None:
                continue
            if isinstance(event, PlatformFailed):
                time.sleep(pause)
                pause = min(2 * pause, MAX_JOURNAL_RETRY_SECONDS)
            step = step_call(state, event)
            self.recording.record_step(event, step.actions)
            state = step.state
            actions.extend(step.actions)


def _new_intent(call: Call) -> IntentRow:
    place = f"{call.service}/{call.path}".encode()
    return IntentRow(
        customer=call.customer,
        idempotency_key=call.idempotency_key,
        program=call.program,
        service=call.service,
        path=call.path,
        body_hash=sha256(place + b"\0" + call.body).hexdigest(),
        attempt=new_id(),
    )


def _intent_from_row(row: object) -> IntentRow:
    return replace(msgspec.convert(row.value, IntentRow), version=row.version)


def _finished_event(row: IntentRow) -> Finished:
    return Finished(
        status=row.status,
        body=row.answer.encode(BODY_CODEC),
        content_type=row.content_type,
    )


def _journal_unavailable() -> Refusal:
    return Refusal(
        Reason.PLATFORM_UNAVAILABLE,
        "call not sent: its intent could not be written to the journal",
        retry_after_seconds=2.0,
    )
