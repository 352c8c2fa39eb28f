"""Runs calls of plain services at the host that holds the slot of their program.

Calls of a program run one after another. The profile says which calls may run at most
once: those are journaled. All others are sent again after a failure, within the retry
budgets.
"""

import time

from swifttide_core.documents import Profile
from swifttide_core.retries import Retry
from swifttide_core.verdicts import Verdict
from swifttide_daemon.calls import Call, Failed, Finished, RunningCall
from swifttide_daemon.programs import ProgramRegistry
from swifttide_daemon.recording import Recorder
from swifttide_daemon.runners._call_context import CallContext
from swifttide_daemon.runners._chat_runner import program_busy_refusal
from swifttide_daemon.runners._journaled_call import JournaledCall
from swifttide_daemon.runners._retry_budgets import RetryBudgets
from swifttide_daemon.runners._service_sender import ServiceSender
from swifttide_daemon.runners._unrecorded_calls import UnrecordedCalls
from swifttide_daemon.store import (
    PlatformClient,
)
from swifttide_daemon.targets import ServiceAnswer


def must_not_repeat(profile: Profile, call: Call) -> bool:
    """Return whether a call must run at most once, by the prefixes of its profile."""
    place = f"{call.service}/{call.path}"
    return any(place.startswith(prefix) for prefix in profile.never_repeat)


class ServiceRunner:
    """Runs service calls, with a journal for those that may run at most once.

    Parameters
    ----------
    book : ProgramRegistry
        Provides the lock that runs the calls of a program in order.
    sender : ServiceSender
    retries : RetryBudgets
    platform : PlatformClient
        Stores the journal.
    recorder : Recorder

    Attributes
    ----------
    unrecorded : UnrecordedCalls
        Counts outcomes that are not in the journal yet.
    """

    def __init__(
        self,
        book: ProgramRegistry,
        sender: ServiceSender,
        retries: RetryBudgets,
        platform: PlatformClient,
        recorder: Recorder,
    ) -> None:
        self.book = book
        self.sender = sender
        self.retries = retries
        self.platform = platform
        self.recorder = recorder
        self.unrecorded = UnrecordedCalls()

    def run(self, context: CallContext, running: RunningCall, traceparent: str) -> None:
        """Run a call and append its events; the last one is `Finished` or `Failed`."""
        order = None
        if context.call.program:
            refusal = self.book.count_call(context.call, context.profile)
            if refusal is not None:
                running.append(Failed(refusal))
                return
            order = self.book.entry(context.call).order
            if not order.acquire(context.remaining):
                running.append(Failed(program_busy_refusal()))
                return
        try:
            if must_not_repeat(context.profile, context.call):
                self._run_journaled(context, running, traceparent)
            else:
                self._run_repeatable(context, running, traceparent)
        finally:
            if order is not None:
                order.release()

    def _run_journaled(
        self, context: CallContext, running: RunningCall, traceparent: str
    ) -> None:
        JournaledCall(
            self.sender,
            self.retries,
            self.platform,
            self.recorder,
            self.unrecorded,
            context,
            running,
            traceparent,
        ).run()

    def _run_repeatable(
        self, context: CallContext, running: RunningCall, traceparent: str
    ) -> None:
        call = context.call
        avoid: frozenset[str] = frozenset()
        n_attempts = 0
        may_have_run = False
        while True:
            n_attempts += 1
            ticket_id = f"{call.request_id}-{n_attempts}"
            sent = self.sender.send(
                context, running, traceparent, ticket_id, avoid, reuse_connection=True
            )
            if sent.is_ok():
                running.append(_finished(sent.ok))
                return
            refusal, target = sent.error
            if not target:
                running.append(Failed(refusal.with_earlier_attempts(may_have_run)))
                return
            may_have_run |= refusal.verdict is not Verdict.NOT_RUN
            if n_attempts == 1:
                self.retries.record_first_attempt(target, call.customer)
            decision = self.retries.decide(
                refusal.verdict,
                repeatable=True,
                n_attempts=n_attempts,
                deadline=context.deadline,
                target=target,
                customer=call.customer,
            )
            if not isinstance(decision, Retry):
                running.append(Failed(refusal.with_earlier_attempts(may_have_run)))
                return
            avoid |= {target}
            time.sleep(decision.after_seconds)


def _finished(answer: ServiceAnswer) -> Finished:
    return Finished(
        status=answer.status, body=answer.body, content_type=answer.content_type
    )
