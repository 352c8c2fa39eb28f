"""Runs chat turns at the holder of their program."""

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
from swifttide_daemon.runners._chat_body import ChatBody
from swifttide_daemon.runners._generator import Generator
from swifttide_daemon.runners._permit import Permit
from swifttide_daemon.runners._prompt import Prompt
from swifttide_daemon.runners._turn_runner import TurnRunner, finished
from swifttide_daemon.store import new_id
from swifttide_daemon.targets import not_holder


class ChatRunner:
    """Turns of programs, and single calls.

    Parameters
    ----------
    membership : MembershipService
    book : ProgramRegistry
    generator : Generator
    platform_available : callable
        Returns whether the platform answered the last call to it.
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

    def run(self, permit: Permit, running: RunningCall, traceparent: str) -> None:
        """Run one call and append its events, the last one final."""
        body = ChatBody.from_bytes(permit.call.body)
        if body.is_error():
            running.append(Failed(body.error))
            return
        if not permit.call.program:
            running.append(self._run_bare(permit, body.ok, running, traceparent))
            return
        entry = self.book.entry(permit.call)
        if not entry.order.acquire(permit.remaining):
            running.append(Failed(earlier_call_runs()))
            return
        try:
            running.append(
                self._run_in_order(permit, body.ok, entry, running, traceparent)
            )
        finally:
            entry.active_at = time.monotonic()
            entry.order.release()

    def _run_in_order(
        self,
        permit: Permit,
        body: ChatBody,
        entry: ProgramEntry,
        running: RunningCall,
        traceparent: str,
    ) -> Finished | Failed:
        if not self.platform_available():
            if permit.profile.history is HistoryMode.DURABLE:
                # Found out after the engine had run, the turn would be lost work.
                return Failed(platform_refusal())
            return self._run_unrecorded(permit, body, running, traceparent)
        epoch = self.membership.epoch(SlotKind.PROGRAM, permit.call.placement_key)
        if epoch is None:
            return Failed(not_holder("program"))
        max_tokens = self._max_tokens(permit, body)
        turn = self._turn(permit, body, epoch, max_tokens)
        runner = TurnRunner(
            self.book,
            self.generator,
            permit,
            body,
            entry,
            turn,
            max_tokens,
            running,
            traceparent,
            self.recorder,
        )
        return runner.run()

    def _run_bare(
        self, permit: Permit, body: ChatBody, running: RunningCall, traceparent: str
    ) -> Finished | Failed:
        """Run a call without rows: a single one, or one during an outage."""
        prompt = Prompt(
            messages=body.messages,
            max_tokens=self._max_tokens(permit, body),
            fingerprint=self.generator.fingerprint(permit, body.messages),
        )
        made = self.generator.generate(permit, prompt, running, traceparent)
        if made.is_error():
            return Failed(made.error)
        return finished(permit.call.turn or 0, made.ok)

    def _run_unrecorded(
        self, permit: Permit, body: ChatBody, running: RunningCall, traceparent: str
    ) -> Finished | Failed:
        """Run a turn whose caller holds the history while the platform is away.

        Nothing can be lost. Its tokens count against the budget as far as this host
        knows it; they are settled with the next commit.
        """
        call = permit.call
        tokens = self._max_tokens(permit, body) + body.content_bytes
        if not self._within_budget(permit, tokens):
            return Failed(Refusal(Reason.BUDGET, "the program's budget is used up"))
        outcome = self._run_bare(permit, body, running, traceparent)
        if isinstance(outcome, Finished):
            used = outcome.completion_tokens + body.content_bytes
            self.book.add_unrecorded_tokens(call, used)
        return outcome

    def _within_budget(self, permit: Permit, tokens: int) -> bool:
        call = permit.call
        tree = self.book.tree(call)
        with tree.lock:
            root = tree.rows.get(f"{call.customer}/{call.root}")
            used = root.budget_used + root.budget_reserved if root else 0
            used += tree.unrecorded_tokens
        return used + tokens <= permit.profile.budget_tokens

    def _turn(
        self, permit: Permit, body: ChatBody, epoch: int, max_tokens: int
    ) -> Turn:
        call = permit.call
        zone = self.membership.me.zone
        slot = self.membership.slot(SlotKind.PROGRAM, call.placement_key)
        caller_keeps = permit.profile.history is HistoryMode.CALLER
        fresh = body.messages[-1:] if caller_keeps else body.messages
        ahead = self.book.take_advance_reservation(call)
        return Turn(
            attempt=new_id(),
            holder=f"{zone}/{slot}/{epoch}",
            zone=zone,
            request=TurnRequest(
                call.turn, sha256(call.body).hexdigest(), gaps=caller_keeps
            ),
            new_program=self._new_row(permit, call.program, call.parent),
            new_root=self._new_row(permit, call.root, ""),
            profile=permit.profile,
            tokens=max_tokens + sum(len(m.content.encode()) for m in fresh),
            now=time.time(),
            calls=self.book.uncommitted_calls(call),
            ahead=ahead.tokens,
            ahead_term=ahead.term,
        )

    def _new_row(self, permit: Permit, program: str, parent: str) -> ProgramRow:
        call = permit.call
        return ProgramRow(
            customer=call.customer,
            program=program,
            root=call.root,
            parent=parent,
            profile=call.profile,
            started_at=time.time(),
            zone=self.membership.me.zone,
        )

    def _max_tokens(self, permit: Permit, body: ChatBody) -> int:
        limit = permit.profile.max_turn_tokens
        return min(limit, body.max_tokens or limit)


def earlier_call_runs() -> Refusal:
    """Return the refusal of a call that waited too long for its turn."""
    return Refusal(
        Reason.DEADLINE,
        "an earlier call of the program took all the time of this one",
        retry_after_seconds=1.0,
    )
