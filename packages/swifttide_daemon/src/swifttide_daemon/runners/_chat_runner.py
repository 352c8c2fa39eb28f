"""Runs chat turns at the holder of their program."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256

from expression import Error, Ok, Result

from swifttide_core.admission import Outcome, OutcomeStatus
from swifttide_core.documents import HistoryMode
from swifttide_core.programs import (
    RefuseTurn,
    ReplayTurn,
    RunTurn,
    TurnDecision,
    TurnRequest,
    decide_turn,
)
from swifttide_core.retries import Retry
from swifttide_core.routing import CachedPrefix
from swifttide_core.strikes import fingerprint_of
from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.calls import (
    Content,
    Failed,
    Finished,
    Reset,
    RunningCall,
    Started,
)
from swifttide_daemon.programs import (
    Chunk,
    Message,
    ProgramBook,
    ProgramEntry,
    TurnResult,
    platform_refusal,
)
from swifttide_daemon.runners._chat_body import ChatBody
from swifttide_daemon.runners._crash_detector import CrashDetector
from swifttide_daemon.runners._permit import Permit
from swifttide_daemon.runners._placement import Demand, Placement, Placer
from swifttide_daemon.runners._retry_account import RetryAccount
from swifttide_daemon.strikes import StrikeService
from swifttide_daemon.targets import EngineClient, EngineDone, TargetFailure

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Turn:
    """One turn that may run.

    Parameters
    ----------
    number : int
        0 for a single call without a program.
    body : ChatBody
    body_hash, fingerprint : str
    messages : tuple of Message
        The whole prompt.
    max_tokens : int
    reserved_tokens, former_tokens : int
    targets : tuple of str
        Engines that may hold the cache.
    fencing : int
        Version of the program's row: an engine that checks it refuses a holder that
        was paused while another went on.
    """

    number: int
    body: ChatBody
    body_hash: str
    fingerprint: str
    messages: tuple[Message, ...]
    max_tokens: int
    reserved_tokens: int = 0
    former_tokens: int = 0
    targets: tuple[str, ...] = ()
    fencing: int = 0


@dataclass(frozen=True, slots=True)
class Generated:
    """A whole answer of an engine."""

    text: str
    usage: EngineDone
    target: str


class ChatRunner:
    """Turns of programs, and single calls.

    Parameters
    ----------
    book : ProgramBook
    placer : Placer
    engines : EngineClient
    retries : RetryAccount
    strikes : StrikeService
    crashes : CrashDetector
    on_turn : callable
        Called with call, usage and whether the platform is available.
    """

    def __init__(
        self,
        book: ProgramBook,
        placer: Placer,
        engines: EngineClient,
        retries: RetryAccount,
        strikes: StrikeService,
        crashes: CrashDetector,
        platform_available: Callable[[], bool],
    ) -> None:
        self.book = book
        self.placer = placer
        self.engines = engines
        self.retries = retries
        self.strikes = strikes
        self.crashes = crashes
        self.platform_available = platform_available

    def run(self, permit: Permit, running: RunningCall, traceparent: str) -> None:
        """Run one call and append its events, the last one final."""
        body = ChatBody.from_bytes(permit.call.body)
        if body.is_error():
            running.append(Failed(body.error))
            return
        if not permit.call.program:
            self._run_single(permit, body.ok, running, traceparent)
            return
        opened = self.book.open(permit.call, permit.profile)
        if opened.is_error():
            running.append(Failed(opened.error))
            return
        entry = opened.ok
        if not entry.order.acquire(permit.remaining):
            running.append(Failed(_earlier_call_runs()))
            return
        try:
            self._run_turn(permit, body.ok, entry, running, traceparent)
        finally:
            entry.active_at = time.monotonic()
            entry.order.release()

    def _run_single(
        self, permit: Permit, body: ChatBody, running: RunningCall, traceparent: str
    ) -> None:
        turn = Turn(
            number=0,
            body=body,
            body_hash="",
            fingerprint=self._fingerprint(permit, body.messages),
            messages=body.messages,
            max_tokens=self._max_tokens(permit, body),
        )
        generated = self._generate(permit, turn, running, traceparent)
        if generated.is_error():
            running.append(Failed(generated.error))
            return
        running.append(_finished(0, generated.ok))

    def _run_turn(
        self,
        permit: Permit,
        body: ChatBody,
        entry: ProgramEntry,
        running: RunningCall,
        traceparent: str,
    ) -> None:
        body_hash = sha256(permit.call.body).hexdigest()
        decision = self._decide(permit, entry, body_hash)
        if decision.is_error():
            running.append(Failed(decision.error))
            return
        match decision.ok:
            case RefuseTurn(refusal):
                running.append(Failed(refusal))
            case ReplayTurn(number, chunk):
                running.append(self._replayed(number, chunk))
            case RunTurn(number):
                running.append(
                    self._run_next(
                        permit, body, body_hash, entry, number, running, traceparent
                    )
                )

    def _decide(
        self, permit: Permit, entry: ProgramEntry, body_hash: str
    ) -> Result[TurnDecision, Refusal]:
        """Decide by the row in memory, and refuse only by the platform's."""
        call = permit.call
        asked = TurnRequest(call.turn, body_hash)
        # The row may have changed while this call waited for an earlier one.
        opened = self.book.open(call, permit.profile)
        if opened.is_error():
            return Error(opened.error)
        decision = decide_turn(entry.row, asked)
        if not isinstance(decision, RefuseTurn):
            return Ok(decision)
        # Another zone may have gone on with the program since it was read here.
        self.book.reload(call)
        opened = self.book.open(call, permit.profile)
        if opened.is_error():
            return Error(opened.error)
        return Ok(decide_turn(entry.row, asked))

    def _run_next(
        self,
        permit: Permit,
        body: ChatBody,
        body_hash: str,
        entry: ProgramEntry,
        number: int,
        running: RunningCall,
        traceparent: str,
    ) -> Finished | Failed:
        prepared = self._prepare(permit, body, body_hash, entry, number)
        if prepared.is_error():
            return Failed(prepared.error)
        turn = prepared.ok
        reserved = self.book.reserve(permit.call, permit.profile, turn.reserved_tokens)
        if reserved.is_error():
            return Failed(reserved.error)
        generated = self._generate(permit, turn, running, traceparent)
        if generated.is_error():
            spent = generated.error.verdict is not Verdict.NOT_RUN
            self.book.release_reservation(permit.call, turn.reserved_tokens, spent)
            return Failed(generated.error)
        return self._commit(permit, turn, generated.ok)

    def _prepare(
        self,
        permit: Permit,
        body: ChatBody,
        body_hash: str,
        entry: ProgramEntry,
        number: int,
    ) -> Result[Turn, Refusal]:
        durable = permit.profile.history is HistoryMode.DURABLE
        if durable and not self.platform_available():
            # Found out after the engine had run, the turn would be lost work.
            return Error(platform_refusal())
        messages = body.messages
        if durable:
            history = self.book.history(entry)
            if history.is_error():
                return Error(history.error)
            messages = (*history.ok, *body.messages)
        former = entry.row.total_tokens
        max_tokens = self._max_tokens(permit, body)
        fresh = body.content_bytes
        if not durable:
            fresh = max(0, fresh - former)
        return Ok(
            Turn(
                number=number,
                body=body,
                body_hash=body_hash,
                fingerprint=self._fingerprint(permit, messages),
                messages=messages,
                max_tokens=max_tokens,
                reserved_tokens=max_tokens + fresh,
                former_tokens=former,
                targets=entry.row.targets,
                fencing=max(0, entry.row.version),
            )
        )

    def _commit(self, permit: Permit, turn: Turn, made: Generated) -> Finished | Failed:
        result = TurnResult(
            turn=turn.number,
            chunk=Chunk(
                turn=turn.number,
                messages=turn.body.messages,
                answer=made.text,
                prompt_tokens=made.usage.prompt_tokens,
                completion_tokens=made.usage.completion_tokens,
            ),
            body_hash=turn.body_hash,
            reserved_tokens=turn.reserved_tokens,
            former_tokens=turn.former_tokens,
            target=made.target,
        )
        committed = self.book.commit(permit.call, permit.profile, result)
        if committed.is_ok():
            return _finished(turn.number, made)
        if committed.error.reason is not Reason.CONFLICT:
            return Failed(committed.error)
        return self._committed_elsewhere(permit, turn, committed.error)

    def _committed_elsewhere(
        self, permit: Permit, turn: Turn, refusal: Refusal
    ) -> Finished | Failed:
        """Answer a turn that another host committed while this one ran it.

        The caller had sent it again through another zone. Both get the answer that
        the history holds.
        """
        opened = self.book.open(permit.call, permit.profile)
        if opened.is_error():
            return Failed(refusal)
        asked = TurnRequest(turn.number, turn.body_hash)
        match decide_turn(opened.ok.row, asked):
            case ReplayTurn(number, chunk):
                return self._replayed(number, chunk)
            case _:
                return Failed(refusal)

    def _generate(
        self, permit: Permit, turn: Turn, running: RunningCall, traceparent: str
    ) -> Result[Generated, Refusal]:
        """Get a whole answer from one engine or, if it fails, from another."""
        call = permit.call
        avoid: frozenset[str] = frozenset()
        n_tries = 0
        while True:
            put_aside = self.strikes.check(turn.fingerprint)
            if put_aside is not None:
                return Error(put_aside)
            n_tries += 1
            ticket_id = f"{call.request_id}-{n_tries}"
            demand = self._demand(permit, turn)
            placed = self.placer.place(permit, demand, ticket_id, avoid)
            if placed.is_error():
                return Error(placed.error)
            placement = placed.ok
            refusal = permit.refusal()
            if refusal is not None:
                self.placer.drop(placement)
                return Error(refusal)
            if n_tries == 1:
                self.retries.first_try(placement.target.name, call.customer)
            else:
                running.append(Reset())
            try:
                return Ok(self._stream(permit, turn, placement, running, traceparent))
            except TargetFailure as failure:
                decision = self._failed(permit, placement, failure, n_tries)
                if not isinstance(decision, Retry):
                    return Error(_refusal_of(failure))
                avoid |= {placement.target.name}
                time.sleep(decision.after_seconds)

    def _stream(
        self,
        permit: Permit,
        turn: Turn,
        placement: Placement,
        running: RunningCall,
        traceparent: str,
    ) -> Generated:
        target = placement.target
        incarnation = self.crashes.incarnation(target)
        running.append(Started(target.name))
        sent_at = time.monotonic()
        first_token_at: float | None = None
        pieces: list[str] = []
        try:
            events = self.engines.chat(
                target,
                placement.ticket_id,
                self._message(permit, turn),
                _headers(turn, traceparent),
                permit.deadline,
                permit.key_stands,
            )
            for event in events:
                if isinstance(event, EngineDone):
                    self._finish(placement, event, sent_at, first_token_at)
                    self.strikes.ran(turn.fingerprint)
                    return Generated("".join(pieces), event, target.name)
                if first_token_at is None:
                    first_token_at = time.monotonic()
                pieces.append(event.text)
                running.append(Content(event.text))
        except TargetFailure as failure:
            died = False
            if failure.broke:
                died = self.crashes.broke(target, turn.fingerprint, incarnation)
            if not died and failure.verdict is not Verdict.NOT_RUN:
                self.engines.cancel(target, placement.ticket_id)
            raise
        raise TargetFailure(
            Reason.TARGET_FAILED, "the stream ended early", Verdict.MAY_HAVE_RUN
        )

    def _finish(
        self,
        placement: Placement,
        usage: EngineDone,
        sent_at: float,
        first_token_at: float | None,
    ) -> None:
        ended_at = time.monotonic()
        first = None if first_token_at is None else first_token_at - sent_at
        gaps = max(1, usage.completion_tokens - 1)
        gap = None if first_token_at is None else (ended_at - first_token_at) / gaps
        uncached = usage.prompt_tokens - usage.cached_tokens
        outcome = Outcome(
            OutcomeStatus.FINISHED,
            tokens=uncached + usage.completion_tokens,
            first_token_seconds=first,
            uncached_tokens=uncached,
            token_gap_seconds=gap,
        )
        self.placer.finish(placement, outcome, ok=True)

    def _failed(
        self, permit: Permit, placement: Placement, failure: TargetFailure, tries: int
    ) -> object:
        status = OutcomeStatus.FAILED
        if failure.verdict is Verdict.NOT_RUN:
            status = OutcomeStatus.NOT_SENT
        self.placer.finish(placement, Outcome(status), ok=False)
        log.info(
            "target failed",
            extra={
                "target": placement.target.name,
                "request_id": permit.call.request_id,
                "cause": failure.detail,
            },
        )
        if failure.reason is Reason.TIMEOUT:
            return None
        # A turn has no effect but its commit, so running it again does no harm.
        return self.retries.decide(
            failure.verdict,
            repeatable=True,
            n_tries=tries,
            deadline=permit.deadline,
            target=placement.target.name,
            customer=permit.call.customer,
        )

    def _demand(self, permit: Permit, turn: Turn) -> Demand:
        prompt = sum(len(m.content.split()) for m in turn.messages)
        prefixes = tuple(CachedPrefix(t, turn.former_tokens) for t in turn.targets)
        return Demand(
            serves=permit.profile.model,
            prompt_tokens=prompt,
            expected_tokens=float(prompt - turn.former_tokens + turn.max_tokens),
            attained_tokens=float(turn.former_tokens),
            prefixes=prefixes,
        )

    def _message(self, permit: Permit, turn: Turn) -> dict[str, object]:
        call = permit.call
        program = "/".join((call.customer, call.root, call.program))
        return {
            "model": permit.profile.model,
            "messages": turn.messages,
            "max_tokens": turn.max_tokens,
            "stream": True,
            "program": program if call.program else "",
        }

    def _max_tokens(self, permit: Permit, body: ChatBody) -> int:
        limit = permit.profile.max_turn_tokens
        return min(limit, body.max_tokens or limit)

    def _fingerprint(self, permit: Permit, messages: tuple[Message, ...]) -> str:
        # The whole prompt, without ids: the same request under another program id or
        # through another host has the same fingerprint, and a short message that
        # many programs send doesn't share one.
        document = {"messages": [(m.role, m.content) for m in messages]}
        kind = f"{permit.call.customer}/{permit.profile.model}"
        return fingerprint_of(document, kind)

    def _replayed(self, number: int, name: str) -> Finished | Failed:
        chunk = self.book.chunk(name)
        if chunk.is_error():
            return Failed(chunk.error.with_verdict(Verdict.RAN))
        return Finished(
            status=200,
            body=chunk.ok.answer.encode(),
            turn=number,
            prompt_tokens=chunk.ok.prompt_tokens,
            completion_tokens=chunk.ok.completion_tokens,
            replayed=True,
        )


def _headers(turn: Turn, traceparent: str) -> dict[str, str]:
    headers = {"X-Fencing": str(turn.fencing), "Content-Type": "application/json"}
    if traceparent:
        headers["traceparent"] = traceparent
    return headers


def _finished(number: int, made: Generated) -> Finished:
    return Finished(
        status=200,
        body=made.text.encode(),
        turn=number,
        prompt_tokens=made.usage.prompt_tokens,
        completion_tokens=made.usage.completion_tokens,
        cached_tokens=made.usage.cached_tokens,
    )


def _refusal_of(failure: TargetFailure) -> Refusal:
    return Refusal(
        failure.reason,
        failure.detail,
        verdict=failure.verdict,
        retry_after_seconds=1.0,
    )


def _earlier_call_runs() -> Refusal:
    return Refusal(
        Reason.DEADLINE,
        "an earlier call of the program took all the time of this one",
        retry_after_seconds=1.0,
    )
