"""A call that may not be repeated, from its intent to its outcome."""

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
from swifttide_daemon.runners._permit import Permit
from swifttide_daemon.runners._retry_account import RetryAccount
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

INTENTS = "intents"
MAX_JOURNAL_SECONDS = 10.0
"""How long a call waits for the journal before it is refused."""

OUTCOME_PAUSE_SECONDS = 0.5
MAX_OUTCOME_PAUSE_SECONDS = 10.0
OUTCOME_SECONDS = 3600.0
"""How long an outcome is offered to a platform that is down."""


BODY_CODEC = "latin-1"
"""Stores any bytes in a JSON string without loss."""


class JournaledCall:
    """One call that may not be repeated, driven through the core's machine.

    Parameters
    ----------
    sender : ServiceSender
    retries : RetryAccount
    platform : PlatformClient
        Keeps the journal.
    recorder : Recorder
    unrecorded : UnrecordedCalls
        Counts answers that the journal doesn't have yet.
    permit : Permit
    running : RunningCall
    traceparent : str
    """

    def __init__(
        self,
        sender: ServiceSender,
        retries: RetryAccount,
        platform: PlatformClient,
        recorder: Recorder,
        unrecorded: UnrecordedCalls,
        permit: Permit,
        running: RunningCall,
        traceparent: str,
    ) -> None:
        self.sender = sender
        self.retries = retries
        self.platform = platform
        self.recorder = recorder
        self.unrecorded = unrecorded
        self.permit = permit
        self.running = running
        self.traceparent = traceparent
        self.journal_until = time.monotonic() + MAX_JOURNAL_SECONDS
        self.answered = False

    def run(self) -> None:
        """Take the call to its end; the caller is answered as soon as it is known."""
        wanted = _wanted(self.permit.call)
        step = start_call(wanted)
        self.recorded = self.recorder.record_start(
            CALL_MACHINE, (wanted,), step.actions
        )
        state = step.state
        actions = list(step.actions)
        while actions:
            action = actions.pop(0)
            if isinstance(action, WriteRow) and self.answered:
                # The caller has its answer; the journal gets the outcome when the
                # platform is back, and the program goes on meanwhile.
                self._finish_later(state, action)
                return
            event = self._act(action)
            if event is None:
                continue
            step = step_call(state, event)
            self.recorded.record_step(event, step.actions)
            state = step.state
            actions.extend(step.actions)

    def _act(self, action: CallAction) -> CallEvent | None:
        match action:
            case ReadRow(key):
                return self._read(key)
            case WriteRow():
                return self._write(action)
            case Dispatch():
                return self._dispatch()
            case Reply(row):
                self._answer(_replied(row))
            case Refuse(refusal):
                self._answer(Failed(refusal))
        return None

    def _answer(self, event: Finished | Failed) -> None:
        self.answered = True
        self.running.append(event)

    def _read(self, key: str) -> CallEvent:
        found = self.platform.read(INTENTS, key)
        if found.is_error():
            return PlatformFailed()
        return RowRead(_intent_of(found.ok) if found.ok else None)

    def _write(self, action: WriteRow) -> CallEvent:
        if not self.answered:
            refusal = self.permit.refusal()
            if refusal is not None and action.transaction.endswith(":intent"):
                return GaveUp(refusal)
        event = self._write_once(action)
        if isinstance(event, PlatformFailed) and not self.answered:
            if time.monotonic() >= self.journal_until:
                return GaveUp(_journal_away())
            time.sleep(OUTCOME_PAUSE_SECONDS)
        return event

    def _write_once(self, action: WriteRow) -> CallEvent:
        row = action.row
        value = msgspec.to_builtins(row)
        del value["version"]
        tx = Transaction(
            (Check(INTENTS, row.key, row.version),),
            (Write(INTENTS, row.key, value),),
            action.transaction,
        )
        outcome = self.platform.commit_soon(tx)
        if outcome.is_error():
            return PlatformFailed()
        if isinstance(outcome.ok, Committed):
            return RowWritten(outcome.ok.versions[0])
        return RowConflict()

    def _dispatch(self) -> CallEvent:
        """Send once; only what proves that no byte left allows another target."""
        avoid: frozenset[str] = frozenset()
        n_tries = 0
        while True:
            n_tries += 1
            try_id = f"{self.permit.call.request_id}-{n_tries}"
            sent = self.sender.send(
                self.permit, self.running, self.traceparent, try_id, avoid, reuse=False
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
            if n_tries == 1:
                self.retries.first_try(target, self.permit.call.customer)
            decision = self.retries.decide(
                refusal.verdict,
                repeatable=False,
                n_tries=n_tries,
                deadline=self.permit.deadline,
                target=target,
                customer=self.permit.call.customer,
            )
            if not isinstance(decision, Retry):
                return TargetUnreached(refusal)
            avoid |= {target}
            time.sleep(decision.after_seconds)

    def _finish_later(self, state: CallState, action: WriteRow) -> None:
        self.unrecorded.enter()
        threading.Thread(
            target=self._write_until_known, args=(state, action), daemon=True
        ).start()

    def _write_until_known(self, state: CallState, action: WriteRow) -> None:
        try:
            self._offer_outcome(state, action)
        finally:
            self.unrecorded.leave()

    def _offer_outcome(self, state: CallState, action: WriteRow) -> None:
        pause = OUTCOME_PAUSE_SECONDS
        ends_at = time.monotonic() + OUTCOME_SECONDS
        actions: list[CallAction] = [action]
        while actions and time.monotonic() < ends_at:
            event = self._act(actions.pop(0))
            if event is None:
                continue
            if isinstance(event, PlatformFailed):
                time.sleep(pause)
                pause = min(2 * pause, MAX_OUTCOME_PAUSE_SECONDS)
            step = step_call(state, event)
            self.recorded.record_step(event, step.actions)
            state = step.state
            actions.extend(step.actions)


def _wanted(call: Call) -> IntentRow:
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


def _intent_of(row: object) -> IntentRow:
    return replace(msgspec.convert(row.value, IntentRow), version=row.version)


def _replied(row: IntentRow) -> Finished:
    return Finished(
        status=row.status,
        body=row.answer.encode(BODY_CODEC),
        content_type=row.content_type,
    )


def _journal_away() -> Refusal:
    return Refusal(
        Reason.PLATFORM_UNAVAILABLE,
        "the journal can't be written, so the call wasn't sent",
        retry_after_seconds=2.0,
    )
