"""Thread-safe admission queue of one target, at the host that holds its slot.

`TargetQueue` decides which calls are admitted; this module serializes access to it and
lets the threads of queued calls wait for their decisions.
"""

import threading
import time
from dataclasses import replace

from swifttide_core.admission import (
    AdmissionConfig,
    Admitted,
    Decision,
    LoadReport,
    Queued,
    Refused,
    TargetQueue,
    Ticket,
)
from swifttide_core.documents import Target, TargetKind
from swifttide_daemon.targets._messages import (
    AcquireAnswer,
    AcquireRequest,
    ReleaseRequest,
)

GRANT_LEASE_SECONDS = 15.0
"""Lifetime of a grant without renewal. The grants of a host that crashed occupy their
target for so long. Grants are renewed three times within it."""


class QueueManager:
    """A `TargetQueue` for use by several threads.

    Parameters
    ----------
    queue : TargetQueue
    """

    def __init__(self, queue: TargetQueue) -> None:
        self.queue = queue
        self._changed = threading.Condition()
        self._decisions: dict[str, Decision] = {}

    @classmethod
    def from_target(cls, target: Target) -> "QueueManager":
        """Return an empty queue with the configuration for the target's kind."""
        match target.kind:
            case TargetKind.ENGINE:
                cfg = AdmissionConfig(lease_seconds=GRANT_LEASE_SECONDS)
            case TargetKind.SERVICE:
                service = AdmissionConfig.for_service()
                cfg = replace(service, lease_seconds=GRANT_LEASE_SECONDS)
        manager = cls(TargetQueue.from_config(cfg, target.max_concurrency))
        if target.leaving:
            manager.queue.set_leaving(time.monotonic())
        return manager

    def acquire(self, req: AcquireRequest) -> AcquireAnswer:
        """Queue a call and wait for the decision, for at most `req.wait_seconds`."""
        now = time.monotonic()
        ends_at = now + req.wait_seconds
        with self._changed:
            decision = self._decisions.pop(req.ticket_id, None)
            if decision is None:
                decision = self.queue.offer(now, _ticket(req, now))
            while isinstance(decision, Queued):
                left = ends_at - time.monotonic()
                if left <= 0:
                    return self._answer(None)
                self._changed.wait(left)
                decision = self._decisions.pop(req.ticket_id, decision)
            return self._answer(decision)

    def release(self, req: ReleaseRequest) -> AcquireAnswer:
        """Release the grant of a call that ended, which may admit other calls."""
        with self._changed:
            now = time.monotonic()
            self._publish_decisions(self.queue.release(now, req.ticket_id, req.outcome))
            return self._answer(None)

    def withdraw(self, ticket_id: str) -> None:
        """Remove a call that is no longer needed."""
        with self._changed:
            self._decisions.pop(ticket_id, None)
            self._publish_decisions(self.queue.withdraw(time.monotonic(), ticket_id))

    def renew(self, calls: tuple[AcquireRequest, ...]) -> None:
        """Renew the grants of calls that are still running."""
        with self._changed:
            now = time.monotonic()
            for call in calls:
                self.queue.renew(now, _ticket(call, now))

    def end_program(self, program: str) -> None:
        """Free the cache of a program that ended for programs that wait to start."""
        with self._changed:
            self._publish_decisions(self.queue.end_program(time.monotonic(), program))

    def tick(self) -> None:
        """Expire grants, and refuse calls whose deadline cannot be met."""
        with self._changed:
            self._publish_decisions(self.queue.tick(time.monotonic()))

    def report_load(self, report: LoadReport) -> None:
        """Update the queue with a load report of the engine."""
        with self._changed:
            self._publish_decisions(self.queue.report_load(time.monotonic(), report))

    def set_target(self, target: Target) -> None:
        """Apply an edit of the target's document."""
        with self._changed:
            now = time.monotonic()
            self._publish_decisions(self.queue.set_leaving(now, target.leaving))
            if not target.leaving:
                self._publish_decisions(
                    self.queue.set_max_concurrency(now, target.max_concurrency)
                )

    def n_queued(self) -> int:
        """Return the number of queued calls."""
        with self._changed:
            return self.queue.snapshot(time.monotonic()).queued

    def _publish_decisions(self, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            self._decisions[decision.ticket_id] = decision
        if decisions:
            self._changed.notify_all()

    def _answer(self, decision: Decision | None) -> AcquireAnswer:
        snapshot = replace(self.queue.snapshot(time.monotonic()), measured_at=0.0)
        match decision:
            case Admitted():
                return AcquireAnswer(True, snapshot=snapshot)
            case Refused(refusal=refusal, try_elsewhere=elsewhere):
                return AcquireAnswer(False, refusal, elsewhere, snapshot)
            case _:
                return AcquireAnswer(False, snapshot=snapshot)


def _ticket(req: AcquireRequest, now: float) -> Ticket:
    return Ticket(
        ticket_id=req.ticket_id,
        customer=req.customer,
        program=req.program,
        weight=req.weight,
        urgency=req.urgency,
        deadline_at=now + req.deadline_in_seconds,
        expected_tokens=req.expected_tokens,
        attained_tokens=req.attained_tokens,
        context_tokens=req.context_tokens,
        expected_context_tokens=req.expected_context_tokens,
        expected_remaining_seconds=req.expected_remaining_seconds,
        new_history=req.new_history,
        offered_at=now - req.waited_seconds,
    )
