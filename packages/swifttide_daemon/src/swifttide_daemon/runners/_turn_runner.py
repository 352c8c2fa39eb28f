"""One turn of a program, driven through the core's machine."""

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
    Ahead,
    Chunk,
    Message,
    ProgramBook,
    ProgramEntry,
    platform_refusal,
)
from swifttide_daemon.recording import Recorder
from swifttide_daemon.runners._chat_body import ChatBody
from swifttide_daemon.runners._generator import Generator
from swifttide_daemon.runners._permit import Permit
from swifttide_daemon.runners._prompt import Generated, Prompt
from swifttide_daemon.store import Committed

STORE_PAUSE_SECONDS = 0.2
STORE_PATIENCE_SECONDS = 15.0
"""How long a turn that was generated waits for the platform to take it."""


class TurnRunner:
    """Does what the machine asks for and tells it what came of it.

    Parameters
    ----------
    book : ProgramBook
    generator : Generator
    permit : Permit
    body : ChatBody
    entry : ProgramEntry
        Its order lock is held.
    turn : Turn
        As given to the machine.
    max_tokens : int
    running : RunningCall
    traceparent : str
    recorder : Recorder
    """

    def __init__(
        self,
        book: ProgramBook,
        generator: Generator,
        permit: Permit,
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
        self.permit = permit
        self.body = body
        self.entry = entry
        self.turn = turn
        self.max_tokens = max_tokens
        self.running = running
        self.traceparent = traceparent
        self.made: Generated | None = None
        self.chunk: Chunk | None = None
        self.refusal: Refusal | None = None
        self.store_until = float("inf")

    def run(self) -> Finished | Failed:
        """Take the turn to its end."""
        known = self.book.known_rows(self.permit.call, self.turn.row_keys)
        step = start_turn(self.turn, known)
        run = self.recorder.record_start(TURN_MACHINE, (self.turn, known), step.actions)
        state = step.state
        actions = list(step.actions)
        while actions:
            action = actions.pop(0)
            outcome = self._act(action)
            if isinstance(outcome, Finished | Failed):
                return outcome
            step = step_turn(state, outcome)
            run.record_step(outcome, step.actions)
            state = step.state
            actions.extend(step.actions)
        return Failed(platform_refusal(Verdict.MAY_HAVE_RUN))

    def _act(self, action: TurnAction) -> TurnEvent | Finished | Failed:
        match action:
            case ReadRows(keys):
                return self._read(keys)
            case WriteRows():
                return self._write(action)
            case RunModel(_, chunks):
                return self._generate(chunks)
            case PutChunk(name):
                return self._store(name)
            case ReplyTurn():
                return self._reply(action)
            case RefuseRequest(refusal):
                return self._refuse(refusal)

    def _read(self, keys: tuple[str, ...]) -> TurnEvent:
        rows = self.book.store.read_rows(keys)
        if rows.is_error():
            return self._store_failed()
        self.book.learn(self.permit.call, rows.ok)
        return RowsRead(rows.ok)

    def _write(self, action: WriteRows) -> TurnEvent:
        if self.made is None:
            refusal = self.permit.refusal()
            if refusal is not None:
                return TurnGivenUp(refusal)
        outcome = self.book.store.write_rows(action.rows, action.transaction)
        if outcome.is_error():
            # Whether it took effect is unknown; rows in memory may be old.
            self.book.forget_rows(self.permit.call)
            return self._store_failed()
        if not isinstance(outcome.ok, Committed):
            self.book.forget_rows(self.permit.call)
            return RowsConflict()
        versions = outcome.ok.versions
        self.book.learn(self.permit.call, _with_versions(action.rows, versions))
        return RowsWritten(versions)

    def _store_failed(self) -> TurnEvent:
        """Tell the machine that the platform is away, after a pause, or give up."""
        now = time.monotonic()
        self.store_until = min(self.store_until, now + STORE_PATIENCE_SECONDS)
        if now >= min(self.store_until, self.permit.deadline):
            return TurnGivenUp(platform_refusal())
        time.sleep(STORE_PAUSE_SECONDS)
        return StoreFailed()

    def _generate(self, chunks: tuple[str, ...]) -> TurnEvent:
        prompt = self._prompt(chunks)
        if isinstance(prompt, Refusal):
            return ModelUnreached(prompt)
        generated = self.generator.generate(
            self.permit, prompt, self.running, self.traceparent
        )
        if generated.is_error():
            self.refusal = generated.error
            if generated.error.verdict is Verdict.NOT_RUN:
                return ModelUnreached(generated.error)
            return ModelFailed()
        self.made = generated.ok
        unrecorded = self.book.take_unrecorded(self.permit.call)
        fresh = max(0, self.made.total_tokens - prompt.former_tokens)
        return ModelAnswered(fresh + unrecorded, self.made.target)

    def _prompt(self, chunks: tuple[str, ...]) -> Prompt | Refusal:
        messages = self.body.messages
        if self.permit.profile.history is HistoryMode.DURABLE:
            history = self.book.history(self.entry, chunks)
            if history.is_error():
                return history.error
            messages = (*history.ok, *messages)
        rows = self.book.known_rows(self.permit.call, self.turn.row_keys[:1])
        row = rows[0] if rows else self.turn.new_program
        exported, self.entry.exported = self.entry.exported, None
        return Prompt(
            messages=messages,
            max_tokens=self.max_tokens,
            fingerprint=self.generator.fingerprint(self.permit, messages),
            former_tokens=row.total_tokens,
            attained_cost=self.book.attained_cost(self.permit.call),
            new_history=self.permit.call.is_sub_agent and row.turns == 0,
            targets=row.targets,
            exported=exported,
            fencing=row.version,
        )

    def _store(self, name: str) -> TurnEvent:
        number = int(name.rpartition("/")[2].partition("-")[0])
        self.chunk = Chunk(
            turn=number,
            messages=self._own_messages(),
            answer=self.made.text,
            prompt_tokens=self.made.prompt_tokens,
            completion_tokens=self.made.completion_tokens,
        )
        if self.book.store.put_chunk(name, self.chunk):
            return ChunkStored()
        return self._store_failed()

    def _own_messages(self) -> tuple[Message, ...]:
        """Return the messages that this turn adds to the history."""
        if self.permit.profile.history is HistoryMode.CALLER:
            return self.body.messages[-1:]
        return self.body.messages

    def _reply(self, action: ReplyTurn) -> Finished | Failed:
        if action.chunk != self.turn.chunk_name(action.number):
            return self._replay(action)
        self.entry.attained_cost += self.made.cost
        self.book.forget_calls(self.permit.call, self.turn.calls)
        ahead = Ahead(action.ahead, action.term)
        self.book.leave_ahead(self.permit.call, ahead)
        self.book.remember(self.entry, action.chunk, self.chunk)
        return finished(action.number, self.made)

    def _replay(self, action: ReplyTurn) -> Finished | Failed:
        ahead = Ahead(self.turn.ahead, self.turn.ahead_term)
        self.book.leave_ahead(self.permit.call, ahead)
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
            # Nothing used the reservation of an earlier commit.
            ahead = Ahead(self.turn.ahead, self.turn.ahead_term)
            self.book.leave_ahead(self.permit.call, ahead)
        if self.refusal is not None and self.refusal.verdict is refusal.verdict:
            return Failed(self.refusal)
        return Failed(refusal)


def finished(number: int, made: Generated) -> Finished:
    """Return the final event of a turn."""
    return Finished(
        status=200,
        body=made.text.encode(),
        turn=number,
        prompt_tokens=made.prompt_tokens,
        completion_tokens=made.completion_tokens,
        cached_tokens=made.cached_tokens,
    )


def _with_versions(
    rows: tuple[ProgramRow, ...], versions: tuple[int, ...]
) -> tuple[ProgramRow, ...]:
    return tuple(
        replace(row, version=version)
        for row, version in zip(rows, versions, strict=True)
    )
