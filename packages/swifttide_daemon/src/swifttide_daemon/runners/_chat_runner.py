"""Runs chat turns at the host that holds the slot of their program.

The turns of a program run one after another, in the order of their arrival; each is
committed to the platform. A call without a program runs alone and stores nothing. While
the platform is unavailable, turns with a durable history are refused before they reach
an engine, and turns whose caller keeps the history run without being stored.
"""

import time
from collections.abc import Callable
from hashlib import sha256

from swifttide_core.documents import HistoryMode
from swifttide_core.programs import ProgramRow, Turn, TurnRequest
from swifttide_core.slots import SlotKind
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.calls import Failed, Finished, RunningCall
from swifttide_daemon.membership import MembershipService
from swifttide_daemon.programs import ProgramEntry, ProgramRegistry, platform_refusal
from swifttide_daemon.recording import Recorder
from swifttide_daemon.runners._call_context import CallContext
from swifttide_daemon.runners._chat_body import ChatBody
from swifttide_daemon.runners._generator import Generator
from swifttide_daemon.runners._prompt import Prompt
from swifttide_daemon.runners._turn_runner import TurnRunner, finished_event
from swifttide_daemon.store import new_id
from swifttide_daemon.targets import not_holder


class ChatRunner:
    """Runs the turns of programs, and chat calls without a program.

    Parameters
    ----------
    membership : MembershipService
    book : ProgramRegistry
    generator : Generator
    platform_available : callable
        Returns whether the platform answered the last request sent to it.
    recorder : Recorder
    """

    def __init__(
        self,
        membership: MembershipService,
        book: ProgramRegistry,
        generator: Generator,
        platform_available: Callable[[], bool],
        recorder: Recorder,
    ) -> None:
        self.recorder = recorder
        self.membership = membership
        self.book = book
        self.generator = generator
        self.platform_available = platform_available

    def run(self, context: CallContext, running: RunningCall, traceparent: str) -> None:
        """Run a call and append its events; the last one is `Finished` or `Failed`."""
        body = ChatBody.from_bytes(context.call.body)
        if body.is_error():
            running.append(Failed(body.error))
            return
        if not context.call.program:
            running.append(self._run_stateless(context, body.ok, running, traceparent))
            return
        entry = self.book.entry(context.call)
        if not entry.order.acquire(context.remaining):
            running.append(Failed(program_busy_refusal()))
            return
        try:
            running.append(
                self._run_in_order(context, body.ok, entry, running, traceparent)
            )
        finally:
            entry.active_at = time.monotonic()
            entry.order.release()

    def _run_in_order(
        self,
        context: CallContext,
        body: ChatBody,
        entry: ProgramEntry,
        running: RunningCall,
        traceparent: str,
    ) -> Finished | Failed:
        if not self.platform_available():
            if context.profile.history is HistoryMode.DURABLE:
                # A failed commit after generation would waste the work of the engine.
                return Failed(platform_refusal())
            return self._run_without_platform(context, body, running, traceparent)
        epoch = self.membership.epoch(SlotKind.PROGRAM, context.call.placement_key)
        if epoch is None:
            return Failed(not_holder("program"))
        max_tokens = self._max_tokens(context, body)
        turn = self._new_turn(context, body, epoch, max_tokens)
        runner = TurnRunner(
            self.book,
            self.generator,
            context,
            body,
            entry,
            turn,
            max_tokens,
            running,
            traceparent,
            self.recorder,
        )
        return runner.run()

    def _run_stateless(
        self,
        context: CallContext,
        body: ChatBody,
        running: RunningCall,
        traceparent: str,
    ) -> Finished | Failed:
        """Generate an answer without reading or writing rows of the program.

        Used for calls without a program and during an outage of the platform.
        """
        prompt = Prompt(
            messages=body.messages,
            max_tokens=self._max_tokens(context, body),
            fingerprint=self.generator.fingerprint(context, body.messages),
        )
        answer = self.generator.generate(context, prompt, running, traceparent)
        if answer.is_error():
            return Failed(answer.error)
        return finished_event(context.call.turn or 0, answer.ok)

    def _run_without_platform(
        self,
        context: CallContext,
        body: ChatBody,
        running: RunningCall,
        traceparent: str,
    ) -> Finished | Failed:
        """Run a turn while the platform is unavailable.

        The caller keeps the history, so no data can be lost. The tokens are checked
        against the budget as last known at this host, and charged with the next
        commit.
        """
        call = context.call
        tokens = self._max_tokens(context, body) + body.content_bytes
        if not self._within_budget(context, tokens):
            return Failed(
                Refusal(Reason.BUDGET, "the token budget of the program is used up")
            )
        outcome = self._run_stateless(context, body, running, traceparent)
        if isinstance(outcome, Finished):
            used = outcome.completion_tokens + body.content_bytes
            self.book.add_unrecorded_tokens(call, used)
        return outcome

    def _within_budget(self, context: CallContext, tokens: int) -> bool:
        call = context.call
        tree = self.book.tree(call)
        with tree.lock:
            root = tree.rows.get(f"{call.customer}/{call.root}")
            used = root.budget_used + root.budget_reserved if root else 0
            used += tree.unrecorded_tokens
        return used + tokens <= context.profile.budget_tokens

    def _new_turn(
        self, context: CallContext, body: ChatBody, epoch: int, max_tokens: int
    ) -> Turn:
        call = context.call
        zone = self.membership.me.zone
        slot = self.membership.slot(SlotKind.PROGRAM, call.placement_key)
        caller_keeps = context.profile.history is HistoryMode.CALLER
        new_messages = body.messages[-1:] if caller_keeps else body.messages
        ahead = self.book.take_advance_reservation(call)
        return Turn(
            attempt=new_id(),
            holder=f"{zone}/{slot}/{epoch}",
            zone=zone,
            request=TurnRequest(
                call.turn, sha256(call.body).hexdigest(), gaps=caller_keeps
            ),
            new_program=self._new_row(context, call.program, call.parent),
            new_root=self._new_row(context, call.root, ""),
            profile=context.profile,
            tokens=max_tokens + sum(len(m.content.encode()) for m in new_messages),
            now=time.time(),
            calls=self.book.uncommitted_calls(call),
            ahead=ahead.tokens,
            ahead_term=ahead.term,
        )

    def _new_row(self, context: CallContext, program: str, parent: str) -> ProgramRow:
        call = context.call
        return ProgramRow(
            customer=call.customer,
            program=program,
            root=call.root,
            parent=parent,
            profile=call.profile,
            started_at=time.time(),
            zone=self.membership.me.zone,
        )

    def _max_tokens(self, context: CallContext, body: ChatBody) -> int:
        limit = context.profile.max_turn_tokens
        return min(limit, body.max_tokens or limit)


def program_busy_refusal() -> Refusal:
    """Return the refusal of a call whose deadline passed behind an earlier call."""
    return Refusal(
        Reason.DEADLINE,
        "deadline passed while an earlier call of the program was running",
        retry_after_seconds=1.0,
    )
