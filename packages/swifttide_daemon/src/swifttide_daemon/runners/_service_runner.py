"""Runs calls of plain services at the holder of their program."""

import threading
import time
from dataclasses import replace
from hashlib import sha256

import msgspec
from expression import Error, Ok, Result

from swifttide_core.admission import Outcome, OutcomeStatus
from swifttide_core.documents import Profile
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
from swifttide_core.replay import CALL
from swifttide_core.retries import Retry
from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.calls import Call, Failed, Finished, RunningCall, Started
from swifttide_daemon.platform import (
    Check,
    Committed,
    PlatformClient,
    Transaction,
    Write,
    new_id,
)
from swifttide_daemon.programs import ProgramBook
from swifttide_daemon.recording import Recorder
from swifttide_daemon.runners._chat_runner import earlier_call_runs
from swifttide_daemon.runners._permit import Permit
from swifttide_daemon.runners._placement import Demand, Placement, Placer
from swifttide_daemon.runners._retry_account import RetryAccount
from swifttide_daemon.targets import ServiceAnswer, ServiceClient, TargetFailure
from swifttide_daemon.telemetry import Telemetry

INTENTS = "intents"
MAX_JOURNAL_SECONDS = 10.0
"""How long a call waits for the journal before it is refused."""

OUTCOME_PAUSE_SECONDS = 0.5
MAX_OUTCOME_PAUSE_SECONDS = 10.0
OUTCOME_SECONDS = 3600.0
"""How long an outcome is offered to a platform that is down."""


BODY_CODEC = "latin-1"
"""Stores any bytes in a JSON string without loss."""


def must_not_repeat(profile: Profile, call: Call) -> bool:
    """Return whether the profile says that a call may run at most once."""
    place = f"{call.service}/{call.path}"
    return any(place.startswith(prefix) for prefix in profile.never_repeat)


class ServiceRunner:
    """Calls of plain services, journaled where they may not be repeated.

    Parameters
    ----------
    book : ProgramBook
        Orders the calls of a program.
    placer : Placer
    services : ServiceClient
    retries : RetryAccount
    platform : PlatformClient
        Keeps the journal.
    telemetry : Telemetry
    recorder : Recorder
    """

    def __init__(
        self,
        book: ProgramBook,
        placer: Placer,
        services: ServiceClient,
        retries: RetryAccount,
        platform: PlatformClient,
        telemetry: Telemetry,
        recorder: Recorder,
    ) -> None:
        self.recorder = recorder
        self.telemetry = telemetry
        self.book = book
        self.placer = placer
        self.services = services
        self.retries = retries
        self.platform = platform

    def run(self, permit: Permit, running: RunningCall, traceparent: str) -> None:
        """Run one call and append its events, the last one final."""
        order = None
        if permit.call.program:
            refusal = self.book.count_call(permit.call, permit.profile)
            if refusal is not None:
                running.append(Failed(refusal))
                return
            order = self.book.entry(permit.call).order
            if not order.acquire(permit.remaining):
                running.append(Failed(earlier_call_runs()))
                return
        try:
            if must_not_repeat(permit.profile, permit.call):
                _Journaled(self, permit, running, traceparent).run()
            else:
                self._run_repeatable(permit, running, traceparent)
        finally:
            if order is not None:
                order.release()

    def send(
        self,
        permit: Permit,
        running: RunningCall,
        traceparent: str,
        try_id: str,
        avoid: frozenset[str],
        reuse: bool,
    ) -> Result[ServiceAnswer, tuple[Refusal, str]]:
        """Send a call to one target, once.

        Returns
        -------
        Result
            The answer, or the refusal and the target that it failed on (empty when
            it was never placed).
        """
        demand = Demand(serves=permit.call.service)
        placed = self.placer.place(permit, demand, try_id, avoid)
        if placed.is_error():
            return Error((placed.error, ""))
        placement = placed.ok
        # Time has passed in the queue, and this is the last moment before dispatch.
        refusal = permit.refusal()
        if refusal is not None:
            self.placer.drop(placement)
            return Error((refusal, ""))
        running.append(Started(placement.target.name))
        return self._exchange(permit, placement, traceparent, reuse)

    def _exchange(
        self, permit: Permit, placement: Placement, traceparent: str, reuse: bool
    ) -> Result[ServiceAnswer, tuple[Refusal, str]]:
        name = placement.target.name
        try:
            answer = self._send_traced(permit, placement, traceparent, reuse)
        except TargetFailure as failure:
            sent = failure.verdict is not Verdict.NOT_RUN
            status = OutcomeStatus.FAILED if sent else OutcomeStatus.NOT_SENT
            self.placer.finish(placement, Outcome(status), ok=False)
            refusal = Refusal(
                failure.reason,
                failure.detail,
                verdict=failure.verdict,
                retry_after_seconds=1.0,
            )
            return Error((refusal, name))
        outcome = Outcome(OutcomeStatus.FINISHED, tokens=1.0)
        self.placer.finish(placement, outcome, ok=answer.status < 500)
        return Ok(answer)

    def _send_traced(
        self, permit: Permit, placement: Placement, traceparent: str, reuse: bool
    ) -> ServiceAnswer:
        call = permit.call
        with self.telemetry.span(
            "target",
            traceparent,
            request_id=call.request_id,
            target=placement.target.name,
        ) as span:
            answer = self.services.send(
                placement.target,
                call.path,
                call.body,
                _headers(call, span.traceparent),
                permit.remaining,
                reuse,
            )
            span.set(status=answer.status, verdict=Verdict.RAN.value)
            return answer

    def _run_repeatable(
        self, permit: Permit, running: RunningCall, traceparent: str
    ) -> None:
        call = permit.call
        avoid: frozenset[str] = frozenset()
        n_tries = 0
        while True:
            n_tries += 1
            try_id = f"{call.request_id}-{n_tries}"
            sent = self.send(permit, running, traceparent, try_id, avoid, reuse=True)
            if sent.is_ok():
                running.append(_finished(sent.ok))
                return
            refusal, target = sent.error
            if not target:
                running.append(Failed(refusal))
                return
            if n_tries == 1:
                self.retries.first_try(target, call.customer)
            decision = self.retries.decide(
                refusal.verdict,
                repeatable=True,
                n_tries=n_tries,
                deadline=permit.deadline,
                target=target,
                customer=call.customer,
            )
            if not isinstance(decision, Retry):
                running.append(Failed(refusal))
                return
            avoid |= {target}
            time.sleep(decision.after_seconds)


class _Journaled:
    """One call that may not be repeated, driven through the core's machine."""

    def __init__(
        self,
        runner: ServiceRunner,
        permit: Permit,
        running: RunningCall,
        traceparent: str,
    ) -> None:
        self.runner = runner
        self.permit = permit
        self.running = running
        self.traceparent = traceparent
        self.journal_until = time.monotonic() + MAX_JOURNAL_SECONDS
        self.answered = False

    def run(self) -> None:
        """Take the call to its end; the caller is answered as soon as it is known."""
        wanted = _wanted(self.permit.call)
        step = start_call(wanted)
        self.recorded = self.runner.recorder.start(CALL, (wanted,), step.actions)
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
            self.recorded.step(event, step.actions)
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
        found = self.runner.platform.read(INTENTS, key)
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
        outcome = self.runner.platform.commit(tx)
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
            sent = self.runner.send(
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
                self.runner.retries.first_try(target, self.permit.call.customer)
            decision = self.runner.retries.decide(
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
        threading.Thread(
            target=self._write_until_known, args=(state, action), daemon=True
        ).start()

    def _write_until_known(self, state: CallState, action: WriteRow) -> None:
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
            self.recorded.step(event, step.actions)
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


def _finished(answer: ServiceAnswer) -> Finished:
    return Finished(
        status=answer.status, body=answer.body, content_type=answer.content_type
    )


def _headers(call: Call, traceparent: str) -> dict[str, str]:
    headers = {
        "X-Request-Id": call.request_id,
        "X-Customer": call.customer,
        "Content-Type": call.content_type or "application/json",
    }
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    if traceparent:
        headers["traceparent"] = traceparent
    return headers


def _journal_away() -> Refusal:
    return Refusal(
        Reason.PLATFORM_UNAVAILABLE,
        "the journal can't be written, so the call wasn't sent",
        retry_after_seconds=2.0,
    )
