"""Queue of calls in front of one target.

A target can get more calls than it can serve: in a burst, from one customer with a high
rate, from long calls among short ones, or permanently. Engines accept every request,
know no priorities and serve all of them late. Without this module the calls of all
customers time out together, one customer can take the target from the others, and
calls are computed although their callers have given up.

One host holds the target and keeps its queue outside of the engine. It orders calls by
customer and program, and refuses a call at once if the expected wait is too long. A
refusal is final and contains a retry time that follows from the measured drain rate.
Calls of programs that have started don't wait behind first calls: their refusal would
waste the work done for the program so far, while a refused first call costs nothing.

Figures are in docs/measurements.md, design choices in docs/design/admission.md.
"""

import heapq
from dataclasses import dataclass

from swifttide_core.admission._concurrency_limit import ConcurrencyLimit
from swifttide_core.admission._config import (
    AdmissionConfig,
    check_admission_config,
)
from swifttide_core.admission._decision import Admitted, Decision, Queued, Refused
from swifttide_core.admission._drain_rate import DrainRate
from swifttide_core.admission._fair_queue import FairQueue
from swifttide_core.admission._load_report import LoadReport
from swifttide_core.admission._outcome import Outcome, OutcomeStatus
from swifttide_core.admission._retry_schedule import RetrySchedule
from swifttide_core.admission._snapshot import QueueSnapshot
from swifttide_core.admission._ticket import Ticket, check_ticket
from swifttide_core.admission._working_set import WorkingSet
from swifttide_core.verdicts import Reason, Refusal

ENTRY_WINDOW_SECONDS = 60.0
"""Time constant of the measured rate at which new programs enter; several times as long
as a program stays at the target."""

MAX_STALE_HEAP_ENTRIES = 64
"""Number of entries by which a heap may exceed twice the number of current entries
before its outdated entries are removed."""


@dataclass(frozen=True, slots=True)
class _Grant:
    ticket: Ticket
    granted_at: float
    expires_at: float


class TargetQueue:
    """Queue in front of one target, kept by the host that holds the target.

    Parameters
    ----------
    cfg : AdmissionConfig
        Limits and time constants.
    limit : ConcurrencyLimit
        Adaptive limit on concurrent calls.
    drain : DrainRate
        Measured drain rate.

    Notes
    -----
    Every method takes ``now`` in monotonic seconds, which must not decrease from one
    method call to the next. Methods that return a tuple of decisions return those about
    waiting calls, which the user of the queue must forward to their callers.
    """

    def __init__(
        self, cfg: AdmissionConfig, limit: ConcurrencyLimit, drain: DrainRate
    ) -> None:
        self._cfg = cfg
        self._limit = limit
        self._drain = drain
        self._queue = FairQueue()
        self._grants: dict[str, _Grant] = {}
        self._expiries: list[tuple[float, str]] = []
        self._latest_starts: list[tuple[float, str]] = []
        self._retry_schedule = RetrySchedule(
            cfg.min_retry_seconds, cfg.max_retry_seconds
        )
        self._working_set = WorkingSet(
            cfg.working_set_fill, cfg.idle_program_seconds, cfg.initial_stay_seconds
        )
        self._program_entry_rate = DrainRate(
            ENTRY_WINDOW_SECONDS, cfg.initial_stay_seconds
        )
        self._leaving = False

    @classmethod
    def from_config(cls, cfg: AdmissionConfig, max_concurrency: int) -> "TargetQueue":
        """Return an empty queue.

        Parameters
        ----------
        cfg : AdmissionConfig
            Settings.
        max_concurrency : int
            Upper bound of the adaptive limit, from the target's configuration document.

        Raises
        ------
        ValueError
            If a setting is out of range.
        """
        check_admission_config(cfg)
        if max_concurrency < 1:
            raise ValueError(f"max_concurrency must be >= 1, got {max_concurrency!r}")
        drain = DrainRate(cfg.drain_window_seconds, cfg.initial_service_seconds)
        return cls(cfg, ConcurrencyLimit(cfg, max_concurrency), drain)

    def offer(self, now: float, ticket: Ticket) -> Admitted | Queued | Refused:
        """Admit, queue or refuse a call.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        ticket : Ticket
            The call. If it is offered again while it runs or waits, because the first
            answer was lost, it gets the same answer and is not counted twice.
        """
        check_ticket(ticket)
        self._observe(now)
        known = self._existing_decision(ticket)
        if known is not None:
            return known
        if self._leaving:
            return self._refuse_leaving(ticket)
        if self._may_start_now(ticket):
            self._queue.start(ticket)
            return self._grant_call(now, ticket)
        wait = self._expected_wait_seconds(ticket)
        if wait > self._max_wait_seconds(now, ticket):
            return self._refuse_full(now, ticket, wait)
        self._queue.push(ticket, self._score(ticket))
        self._push_latest_start(ticket)
        return Queued(ticket.ticket_id, wait)

    def release(
        self, now: float, ticket_id: str, outcome: Outcome
    ) -> tuple[Decision, ...]:
        """End a grant and admit the calls that go next.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        ticket_id : str
            Id of the call. Unknown ids are ignored: the grant may have expired before,
            or was released twice because an answer was lost.
        outcome : Outcome
            How the call ended.
        """
        self._observe(now)
        grant = self._grants.pop(ticket_id, None)
        if grant is None:
            return self._process_changes(now)
        saturated = len(self._grants) + 1 >= self._limit.value
        tokens = self._charged_tokens(grant.ticket, outcome)
        self._queue.finish(grant.ticket, tokens)
        self._limit.observe_release(now, outcome, saturated)
        if outcome.status is OutcomeStatus.FINISHED:
            seconds = now - grant.granted_at
            self._drain.observe_release(len(self._queue) > 0, seconds, tokens)
        return self._process_changes(now)

    def renew(self, now: float, ticket: Ticket) -> Admitted:
        """Extend the lease of a call that still runs.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        ticket : Ticket
            The running call. A host that has taken over the target does not know the
            call yet and counts it from now on. Otherwise it would admit calls up to the
            limit in addition to those that run.
        """
        self._observe(now)
        known = self._grants.get(ticket.ticket_id)
        if known is None:
            self._queue.withdraw(ticket.ticket_id)
            self._queue.start(ticket)
            return self._grant_call(now, ticket)
        return self._store_grant(known.ticket, known.granted_at, now)

    def withdraw(self, now: float, ticket_id: str) -> tuple[Decision, ...]:
        """Remove a call whose caller has left; a running one counts as cancelled."""
        if ticket_id in self._grants:
            return self.release(now, ticket_id, Outcome(OutcomeStatus.CANCELLED))
        self._observe(now)
        self._queue.withdraw(ticket_id)
        return self._process_changes(now)

    def end_program(self, now: float, program: str) -> tuple[Decision, ...]:
        """Release a program's memory at the target for programs that wait to start.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        program : str
            Id of a program that ended, moved to another target, or whose cache was
            released.
        """
        self._observe(now)
        self._working_set.remove(now, program)
        return self._process_changes(now)

    def report_load(self, now: float, report: LoadReport) -> tuple[Decision, ...]:
        """Adapt the limit and the known memory to the engine's load report."""
        self._observe(now)
        if report.cache_capacity_tokens > 0:
            self._working_set.set_capacity(report.cache_capacity_tokens)
        self._limit.observe_load(now, report)
        return self._process_changes(now)

    def tick(self, now: float) -> tuple[Decision, ...]:
        """Expire grants, refuse calls that can't meet their deadlines, admit others.

        Notes
        -----
        This method must be called about once per second.
        """
        self._observe(now)
        self._retry_schedule.remove_expired(now)
        self._working_set.remove_idle(now)
        return self._process_changes(now)

    def set_max_concurrency(
        self, now: float, max_concurrency: int
    ) -> tuple[Decision, ...]:
        """Set the upper bound of the adaptive limit."""
        self._observe(now)
        self._limit.set_max(max_concurrency)
        return self._process_changes(now)

    def set_leaving(self, now: float, leaving: bool = True) -> tuple[Decision, ...]:
        """Refuse all waiting and later calls, since the target is being removed.

        The refused calls may be offered to another target.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        leaving : bool
            False if operators have cancelled the removal; calls are accepted again.
        """
        self._observe(now)
        self._leaving = leaving
        if not leaving:
            return ()
        return tuple(
            self._refuse_leaving(self._queue.withdraw(ticket.ticket_id))
            for ticket in self._queue.tickets()
        )

    def drain_rate(self, now: float) -> float:
        """Return the measured releases per second."""
        self._observe(now)
        return self._drain.per_second(self._limit.value)

    def snapshot(self, now: float) -> QueueSnapshot:
        """Return the state by which other hosts choose a target."""
        return QueueSnapshot(
            measured_at=now,
            running=len(self._grants),
            queued=len(self._queue),
            entering=self._queue.n_waiting_first_calls,
            limit=self._limit.value,
            drain_per_second=self.drain_rate(now),
            service_seconds=self._drain.service_seconds,
            entry_wait_seconds=self._program_entry_wait_seconds(
                self._queue.n_waiting_first_calls
            ),
            leaving=self._leaving,
        )

    def _observe(self, now: float) -> None:
        self._drain.observe(now, len(self._queue) > 0)
        self._program_entry_rate.observe(now, self._queue.n_waiting_first_calls > 0)

    def _existing_decision(self, ticket: Ticket) -> Admitted | Queued | None:
        grant = self._grants.get(ticket.ticket_id)
        if grant is not None:
            return Admitted(ticket.ticket_id, grant.expires_at)
        if ticket.ticket_id in self._queue:
            return Queued(ticket.ticket_id, self._expected_wait_seconds(ticket))
        return None

    def _process_changes(self, now: float) -> tuple[Decision, ...]:
        self._expire_grants(now)
        decisions: list[Decision] = self._refuse_past_deadline(now)
        while len(self._grants) < self._limit.value:
            ticket = self._queue.pop(entry_allowed=self._may_next_program_enter())
            if ticket is None:
                break
            decisions.append(self._grant_call(now, ticket))
        return tuple(decisions)

    def _may_start_now(self, ticket: Ticket) -> bool:
        if len(self._grants) >= self._limit.value:
            return False
        if not ticket.may_be_held_back:
            return len(self._queue) == self._queue.n_waiting_first_calls
        return len(self._queue) == 0 and self._has_room_for_program(ticket)

    def _may_next_program_enter(self) -> bool:
        ticket = self._queue.peek_first_call()
        return ticket is not None and self._has_room_for_program(ticket)

    def _has_room_for_program(self, ticket: Ticket) -> bool:
        return self._is_mostly_idle() or self._working_set.has_room(
            ticket.final_context_tokens
        )

    def _is_mostly_idle(self) -> bool:
        return len(self._grants) < self._cfg.spare_fraction * self._limit.value

    def _grant_call(self, now: float, ticket: Ticket) -> Admitted:
        if not ticket.is_program_started:
            self._program_entry_rate.observe_entry(
                self._queue.n_waiting_first_calls > 0
            )
        if ticket.context_tokens > 0:
            self._working_set.set_history(
                now,
                ticket.program,
                ticket.context_tokens,
                ticket.expected_context_tokens,
            )
        return self._store_grant(ticket, now, now)

    def _store_grant(self, ticket: Ticket, granted_at: float, now: float) -> Admitted:
        expires_at = now + self._cfg.lease_seconds
        self._grants[ticket.ticket_id] = _Grant(ticket, granted_at, expires_at)
        heapq.heappush(self._expiries, (expires_at, ticket.ticket_id))
        if len(self._expiries) > 2 * len(self._grants) + MAX_STALE_HEAP_ENTRIES:
            self._expiries = [(g.expires_at, i) for i, g in self._grants.items()]
            heapq.heapify(self._expiries)
        return Admitted(ticket.ticket_id, expires_at)

    def _expire_grants(self, now: float) -> None:
        # A host can fail without releasing its grants. If they did not expire, they
        # would count as running forever and use up the target's limit until no call
        # is admitted.
        while self._expiries and self._expiries[0][0] <= now:
            _, ticket_id = heapq.heappop(self._expiries)
            grant = self._grants.get(ticket_id)
            if grant is None or grant.expires_at > now:
                continue
            del self._grants[ticket_id]
            self._queue.finish(grant.ticket, grant.ticket.expected_tokens)

    def _refuse_past_deadline(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        while self._latest_starts and self._latest_starts[0][0] <= now:
            _, ticket_id = heapq.heappop(self._latest_starts)
            ticket = self._queue.withdraw(ticket_id)
            if ticket is not None:
                decisions.append(self._refuse_deadline(now, ticket))
        return decisions

    def _push_latest_start(self, ticket: Ticket) -> None:
        # Calls that left the queue stay in the heap until their deadline. If they were
        # not removed, a busy target with long deadlines would use memory for each call
        # of the last minutes.
        entry = (self._latest_start_at(ticket), ticket.ticket_id)
        heapq.heappush(self._latest_starts, entry)
        if len(self._latest_starts) > 2 * len(self._queue) + MAX_STALE_HEAP_ENTRIES:
            self._latest_starts = [
                e for e in self._latest_starts if e[1] in self._queue
            ]
            heapq.heapify(self._latest_starts)

    def _score(self, ticket: Ticket) -> float:
        steps = ticket.urgency + (1 if ticket.is_program_started else 0)
        return ticket.offered_at - steps * self._cfg.urgency_seconds

    def _latest_start_at(self, ticket: Ticket) -> float:
        # A program that starts too late to meet its deadline would use the target and
        # still be abandoned, while programs that could finish in time are refused.
        needed = max(self._drain.service_seconds, ticket.expected_remaining_seconds)
        return ticket.deadline_at - needed

    def _max_wait_seconds(self, now: float, ticket: Ticket) -> float:
        return min(self._cfg.max_wait_seconds, self._latest_start_at(ticket) - now)

    def _expected_wait_seconds(self, ticket: Ticket) -> float:
        ahead = self._queue.tokens_ahead(ticket)
        first = self._drain.service_seconds / self._limit.value
        wait = ahead / self._customer_tokens_per_second(ticket) + first
        if ticket.is_program_started or not ticket.may_be_held_back:
            return wait
        n_ahead = self._queue.first_calls_ahead(ticket)
        return max(
            wait, self._program_entry_wait_seconds(n_ahead / self._queue.share(ticket))
        )

    def _program_entry_wait_seconds(self, n_ahead: float) -> float:
        if not self._working_set.is_capacity_known:
            return 0.0
        if n_ahead == 0 and (self._is_mostly_idle() or self._working_set.has_room(0.0)):
            return 0.0
        self._program_entry_rate.set_service_seconds(self._working_set.stay_seconds)
        return (n_ahead + 1) / self._program_entry_rate.per_second(
            self._working_set.program_capacity
        )

    def _program_entry_spacing_seconds(self, ticket: Ticket) -> float:
        if not self._working_set.is_capacity_known:
            return 0.0
        rate = self._program_entry_rate.per_second(self._working_set.program_capacity)
        return 1.0 / (rate * self._queue.share(ticket))

    def _customer_tokens_per_second(self, ticket: Ticket) -> float:
        rate = self._drain.tokens_per_second(self._limit.value, ticket.expected_tokens)
        return rate * self._queue.share(ticket)

    def _charged_tokens(self, ticket: Ticket, outcome: Outcome) -> float:
        match outcome.status:
            case OutcomeStatus.NOT_SENT:
                return 0.0
            case _ if outcome.tokens is not None:
                return outcome.tokens
        return ticket.expected_tokens

    def _retry_after_seconds(self, now: float, ticket: Ticket, wait: float) -> float:
        spacing = ticket.expected_tokens / self._customer_tokens_per_second(ticket)
        if ticket.may_be_held_back:
            spacing = max(spacing, self._program_entry_spacing_seconds(ticket))
        return self._retry_schedule.reserve(now, ticket.customer, wait, spacing)

    def _refuse_full(self, now: float, ticket: Ticket, wait: float) -> Refused:
        excess = wait - self._max_wait_seconds(now, ticket)
        refusal = Refusal(
            Reason.QUEUE_FULL,
            f"the expected wait of {wait:.1f} s exceeds the maximum wait of the call",
            retry_after_seconds=self._retry_after_seconds(now, ticket, excess),
        )
        return Refused(ticket.ticket_id, refusal, try_elsewhere=True)

    def _refuse_deadline(self, now: float, ticket: Ticket) -> Refused:
        wait = self._expected_wait_seconds(ticket)
        refusal = Refusal(
            Reason.DEADLINE,
            "the deadline of the program can no longer be met",
            retry_after_seconds=self._retry_after_seconds(now, ticket, wait),
        )
        return Refused(ticket.ticket_id, refusal)

    def _refuse_leaving(self, ticket: Ticket) -> Refused:
        refusal = Refusal(
            Reason.NO_TARGET,
            "the target is being removed and takes no new calls",
            retry_after_seconds=self._cfg.min_retry_seconds,
        )
        return Refused(ticket.ticket_id, refusal, try_elsewhere=True)
