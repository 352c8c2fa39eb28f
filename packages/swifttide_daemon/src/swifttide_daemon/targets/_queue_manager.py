"""The queue of one target at its holder, with the threads that wait in it."""

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
"""Life of a grant that isn't renewed: a host that dies holds up its places at a target
for so long. Grants are renewed three times within it."""


class QueueManager:
    """A `TargetQueue` shared by threads.

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
        """Return an empty queue with the settings of the target's kind."""
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
        """Offer a call and wait for its turn, at most as long as it asked for."""
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
        """End an admitted call; others may go on."""
        with self._changed:
            now = time.monotonic()
            self._publish_decisions(self.queue.release(now, req.ticket_id, req.outcome))
            return self._answer(None)

    def withdraw(self, ticket_id: str) -> None:
        """Forget a call that nobody waits for any more."""
        with self._changed:
            self._decisions.pop(ticket_id, None)
            self._publish_decisions(self.queue.withdraw(time.monotonic(), ticket_id))

    def renew(self, calls: tuple[AcquireRequest, ...]) -> None:
        """Prolong the grants of calls that still run."""
        with self._changed:
            now = time.monotonic()
            for call in calls:
                self.queue.renew(now, _ticket(call, now))

    def end_program(self, program: str) -> None:
        """Give a program's room at the target to those that wait to start."""
        with self._changed:
            self._publish_decisions(self.queue.end_program(time.monotonic(), program))

    def tick(self) -> None:
        """Let time pass: expire grants and refuse what comes too late."""
        with self._changed:
            self._publish_decisions(self.queue.tick(time.monotonic()))

    def report_load(self, report: LoadReport) -> None:
        """Pass on the engine's own load report."""
        with self._changed:
            self._publish_decisions(self.queue.report_load(time.monotonic(), report))

    def set_target(self, target: Target) -> None:
        """Take over an edit of the target's document."""
        with self._changed:
            now = time.monotonic()
            self._publish_decisions(self.queue.set_leaving(now, target.leaving))
            if not target.leaving:
                self._publish_decisions(
                    self.queue.set_max_concurrency(now, target.max_concurrency)
                )

    def n_queued(self) -> int:
        """Return how many calls wait."""
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
