"""Runs one turn of a program.

The state machine in `swifttide_core.programs` decides the steps of a turn: read the
program's rows, reserve budget, generate the answer, store it and commit. This module
executes these actions and reports their results to the machine. If the platform is
unavailable, an action is retried every `STORE_RETRY_SECONDS`, until
`STORE_TIMEOUT_SECONDS` after the first failure or until the deadline of the call.
"""

import time
from dataclasses import replace

from swifttide_core.documents import HistoryMode
from swifttide_core.programs import (
    ChunkStored,
    ModelAnswered,
    ModelFailed,
    ModelUnreached,
    ProgramRow,
    PutChunk,
    ReadRows,
    RefuseRequest,
    ReplyTurn,
    RowsConflict,
    RowsRead,
    RowsWritten,
    RunModel,
    StoreFailed,
    Turn,
    TurnAction,
    TurnEvent,
    TurnGivenUp,
    WriteRows,
    start_turn,
    step_turn,
)
from swifttide_core.replay import TURN_MACHINE
from swifttide_core.verdicts import Refusal, Verdict
from swifttide_daemon.calls import Failed, Finished, RunningCall
from swifttide_daemon.programs import (
    AdvanceReservation,
    Chunk,
    Message,
    ProgramEntry,
    ProgramRegistry,
    platform_refusal,
)
from swifttide_daemon.recording import Recorder
from swifttide_daemon.runners._call_context import CallContext
from swifttide_daemon.runners._chat_body import ChatBody
from swifttide_daemon.runners._generator import Generator
from swifttide_daemon.runners._prompt import GeneratedAnswer, Prompt
from swifttide_daemon.store import Committed

STORE_RETRY_SECONDS = 0.2
STORE_TIMEOUT_SECONDS = 15.0
"""Time to retry reads and writes of a turn while the platform is unavailable."""


class TurnRunner:
    """Executes the actions of the state machine for one turn.

    Parameters
    ----------
    book : ProgramRegistry
    generator : Generator
    context : CallContext
    body : ChatBody
    entry : ProgramEntry
        The caller holds its `order` lock.
    turn : Turn
        Input of the state machine.
    max_tokens : int
    running : RunningCall
    traceparent : str
    recorder : Recorder
    """

    def __init__(
        self,
        book: ProgramRegistry,
        generator: Generator,
        context: CallContext,
        body: ChatBody,
        entry: ProgramEntry,
        turn: Turn,
        max_tokens: int,
        running: RunningCall,
        traceparent: str,
        recorder: Recorder,
    ) -> None:
        self.recorder = recorder
        self.book = book
        self.generator = generator
        self.context = context
        self.body = body
        self.entry = entry
        self.turn = turn
        self.max_tokens = max_tokens
        self.running = running
        self.traceparent = traceparent
        self.generated: GeneratedAnswer | None = None
        self.chunk: Chunk | None = None
        self.model_refusal: Refusal | None = None
        self.store_deadline = float("inf")

    def run(self) -> Finished | Failed:
        """Run the turn and return its final event."""
        known = self.book.cached_rows(self.context.call, self.turn.row_keys)
        step = start_turn(self.turn, known)
        run = self.recorder.record_start(TURN_MACHINE, (self.turn, known), step.actions)
        state = step.state
        actions = list(step.actions)
        while actions:
            action = actions.pop(0)
            outcome = self._execute(action)
            if isinstance(outcome, Finished | Failed):
                return outcome
            step = step_turn(state, outcome)
            run.record_step(outcome, step.actions)
            state = step.state
            actions.extend(step.actions)
        return Failed(platform_refusal(Verdict.MAY_HAVE_RUN))

    def _execute(self, action: TurnAction) -> TurnEvent | Finished | Failed:
        match action:
            case ReadRows(keys):
                return self._read_rows(keys)
            case WriteRows():
                return self._write_rows(action)
            case RunModel(_, chunks):
                return self._generate(chunks)
            case PutChunk(name):
                return self._store_chunk(name)
            case ReplyTurn():
                return self._reply(action)
            case RefuseRequest(refusal):
                return self._refuse(refusal)

    def _read_rows(self, keys: tuple[str, ...]) -> TurnEvent:
        rows = self.book.store.read_rows(keys)
        if rows.is_error():
            return self._store_failed()
        self.book.cache_rows(self.context.call, rows.ok)
        return RowsRead(rows.ok)

    def _write_rows(self, action: WriteRows) -> TurnEvent:
        if self.generated is None:
            refusal = self.context.refusal()
            if refusal is not None:
                return TurnGivenUp(refusal)
        outcome = self.book.store.write_rows(action.rows, action.transaction)
        if outcome.is_error():
            # It is unknown whether the write took effect; cached rows may be outdated.
            self.book.drop_cached_rows(self.context.call)
            return self._store_failed()
        if not isinstance(outcome.ok, Committed):
            self.book.drop_cached_rows(self.context.call)
            return RowsConflict()
        versions = outcome.ok.versions
        self.book.cache_rows(self.context.call, _with_versions(action.rows, versions))
        return RowsWritten(versions)

    def _store_failed(self) -> TurnEvent:
        """Return `StoreFailed` after a pause, or `TurnGivenUp` after the time limit."""
        now = time.monotonic()
        self.store_deadline = min(self.store_deadline, now + STORE_TIMEOUT_SECONDS)
        if now >= min(self.store_deadline, self.context.deadline):
            return TurnGivenUp(platform_refusal())
        time.sleep(STORE_RETRY_SECONDS)
        return StoreFailed()

    def _generate(self, chunks: tuple[str, ...]) -> TurnEvent:
        prompt = self._prompt(chunks)
        if isinstance(prompt, Refusal):
            return ModelUnreached(prompt)
        generated = self.generator.generate(
            self.context, prompt, self.running, self.traceparent
        )
        if generated.is_error():
            self.model_refusal = generated.error
            if generated.error.verdict is Verdict.NOT_RUN:
                return ModelUnreached(generated.error)
            return ModelFailed()
        self.generated = generated.ok
        unrecorded = self.book.take_unrecorded_tokens(self.context.call)
        new_tokens = max(0, self.generated.total_tokens - prompt.history_tokens)
        return ModelAnswered(new_tokens + unrecorded, self.generated.target)

    def _prompt(self, chunks: tuple[str, ...]) -> Prompt | Refusal:
        messages = self.body.messages
        if self.context.profile.history is HistoryMode.DURABLE:
            history = self.book.history(self.entry, chunks)
            if history.is_error():
                return history.error
            messages = (*history.ok, *messages)
        rows = self.book.cached_rows(self.context.call, self.turn.row_keys[:1])
        row = rows[0] if rows else self.turn.new_program
        exported, self.entry.exported_cache = self.entry.exported_cache, None
        return Prompt(
            messages=messages,
            max_tokens=self.max_tokens,
            fingerprint=self.generator.fingerprint(self.context, messages),
            history_tokens=row.total_tokens,
            attained_cost=self.book.attained_cost(self.context.call),
            new_history=self.context.call.is_sub_agent and row.turns == 0,
            cache_targets=row.targets,
            exported_cache=exported,
            fencing_token=row.version,
        )

    def _store_chunk(self, name: str) -> TurnEvent:
        number = int(name.rpartition("/")[2].partition("-")[0])
        self.chunk = Chunk(
            turn=number,
            messages=self._new_messages(),
            answer=self.generated.text,
            prompt_tokens=self.generated.prompt_tokens,
            completion_tokens=self.generated.completion_tokens,
        )
        if self.book.store.put_chunk(name, self.chunk):
            return ChunkStored()
        return self._store_failed()

    def _new_messages(self) -> tuple[Message, ...]:
        """Return the messages that this turn adds to the history."""
        if self.context.profile.history is HistoryMode.CALLER:
            return self.body.messages[-1:]
        return self.body.messages

    def _reply(self, action: ReplyTurn) -> Finished | Failed:
        if action.chunk != self.turn.chunk_name(action.number):
            return self._replay(action)
        self.entry.attained_cost += self.generated.cost
        self.book.subtract_committed_calls(self.context.call, self.turn.calls)
        ahead = AdvanceReservation(action.ahead, action.term)
        self.book.add_advance_reservation(self.context.call, ahead)
        self.book.cache_turn(self.entry, action.chunk, self.chunk)
        return finished_event(action.number, self.generated)

    def _replay(self, action: ReplyTurn) -> Finished | Failed:
        ahead = AdvanceReservation(self.turn.ahead, self.turn.ahead_term)
        self.book.add_advance_reservation(self.context.call, ahead)
        chunk = self.book.store.chunk(action.chunk)
        if chunk.is_error():
            return Failed(chunk.error.with_verdict(Verdict.RAN))
        return Finished(
            status=200,
            body=chunk.ok.answer.encode(),
            turn=action.number,
            prompt_tokens=chunk.ok.prompt_tokens,
            completion_tokens=chunk.ok.completion_tokens,
            replayed=True,
        )

    def _refuse(self, refusal: Refusal) -> Failed:
        if refusal.verdict is Verdict.NOT_RUN:
            # The tokens that an earlier commit reserved were not used.
            ahead = AdvanceReservation(self.turn.ahead, self.turn.ahead_term)
            self.book.add_advance_reservation(self.context.call, ahead)
        if (
            self.model_refusal is not None
            and self.model_refusal.verdict is refusal.verdict
        ):
            return Failed(self.model_refusal)
        return Failed(refusal)


def finished_event(number: int, answer: GeneratedAnswer) -> Finished:
    """Return the final event of a turn that was generated."""
    return Finished(
        status=200,
        body=answer.text.encode(),
        turn=number,
        prompt_tokens=answer.prompt_tokens,
        completion_tokens=answer.completion_tokens,
        cached_tokens=answer.cached_tokens,
    )


def _with_versions(
    rows: tuple[ProgramRow, ...], versions: tuple[int, ...]
) -> tuple[ProgramRow, ...]:
    return tuple(
        replace(row, version=version)
        for row, version in zip(rows, versions, strict=True)
    )
