"""Answers the questions for the services that this host schedules.

One host of the fleet holds the scheduler of a service: it decides to which target each
turn goes and whether a new program may begin. Two hosts that both act as the
scheduler's host only know less of each other's turns: no guarantee depends on the
order of scheduling.

A question that has to wait is decided when a turn ends, or in one of the rounds every
`GRANT_INTERVAL_SECONDS`. Once a second, the state of the scheduler goes to the hosts
that would succeed this one.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from swifttide_core.admission import (
    PlacementDeferred,
    ProgramRefused,
)
from swifttide_core.forwarding import TargetEntry
from swifttide_core.scheduling import (
    AdmissionWithdrawn,
    Eligible,
    PlacementGrant,
    PlacementRequest,
    ProgramQueued,
    ProgramRequest,
    TurnId,
    TurnQueued,
    TurnResult,
    TurnScheduler,
)
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.peers._elapsed_clock import elapsed_seconds
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._keeper_choice import KeeperChoice
from swifttide_daemon.gateway.targets._eligibility import Eligibility
from swifttide_daemon.gateway.targets._order_messages import (
    AskEntry,
    AskLeft,
    AskPlace,
    OrderAnswer,
    OrderMessage,
    OrderState,
    TurnLeft,
)
from swifttide_daemon.gateway.targets._order_requests import request_of, result_of
from swifttide_daemon.gateway.targets._recent_answers import RecentAnswers
from swifttide_daemon.gateway.targets._scheduler_client import scheduling_name
from swifttide_daemon.gateway.targets._scheduler_states import (
    ReceivedStates,
    split_snapshot,
)
from swifttide_daemon.gateway.targets._target_health import TargetHealth
from swifttide_daemon.telemetry import EventLog

IDLE_SECONDS = 1.0
"""A scheduler's host that was not asked for this time may have had a successor
meanwhile, and counts as new."""

MIN_RETRY_SECONDS = 0.01
"""Shortest wait that is sent to a host: a few round trips."""

GRANT_INTERVAL_SECONDS = 0.02
"""Time between two rounds of decisions on waiting questions: a tenth of a turn."""

REPORT_INTERVAL_SECONDS = 1.0
"""Time between two reports to the log and to the succeeding hosts."""

N_SUCCESSORS = 2
"""Number of hosts that get the state of a scheduler."""

REPEAT_GRACE_SECONDS = 1.0
"""Time after which a waiting question is removed that its host did not repeat when it
should have: the host is lost."""


@dataclass(slots=True)
class _ActiveScheduler:
    """Scheduler of a service at this host, and the questions that wait at it."""

    scheduler: TurnScheduler
    since: float
    asked_at: float
    waiting_until: dict[TurnId, float] = field(default_factory=dict)


class SchedulerServer:
    """Schedules the services for which other hosts ask this one.

    Parameters
    ----------
    fleet : Fleet
    choice : KeeperChoice
    beliefs : Beliefs
    health : TargetHealth
    send : callable
        Sends a message to an IP address, which may be this host's. It may be lost.
    log : EventLog
    new_scheduler : callable
        Creates a scheduler, see `TurnScheduler`.
    """

    def __init__(
        self,
        fleet: Fleet,
        choice: KeeperChoice,
        beliefs: Beliefs,
        health: TargetHealth,
        send: Callable[[str, OrderMessage], None],
        log: EventLog,
        new_scheduler: Callable = TurnScheduler,
    ):
        self._own_ip = fleet.own.ip
        self._fleet = fleet
        self._choice = choice
        self._beliefs = beliefs
        self._health = health
        self._eligibility = Eligibility(fleet, choice, beliefs, health)
        self._send = send
        self._log = log
        self._new_scheduler = new_scheduler
        self._active: dict[str, _ActiveScheduler] = {}
        self._recent_answers = RecentAnswers()
        self._received_states = ReceivedStates()
        self._has_waiting = asyncio.Event()

    async def run(self) -> None:
        """Decide on waiting questions and send reports until cancelled."""
        loop = asyncio.get_running_loop()
        report_at = loop.time() + REPORT_INTERVAL_SECONDS
        while True:
            try:
                async with asyncio.timeout_at(report_at):
                    await self._has_waiting.wait()
                    await asyncio.sleep(GRANT_INTERVAL_SECONDS)
            except TimeoutError:
                report_at = loop.time() + REPORT_INTERVAL_SECONDS
                self._for_each_scheduler(self._report)
            self._for_each_scheduler(self._run_round)
            if not any(active.waiting_until for active in self._active.values()):
                self._has_waiting.clear()

    def handle_message(self, message: OrderMessage, sender: str) -> None:
        """Process a message for the scheduler; other messages are ignored."""
        if sender != self._own_ip and self._fleet.by_ip(sender) is None:
            return
        now = asyncio.get_running_loop().time()
        match message:
            case AskEntry() | AskPlace() if self._is_configured(message.service):
                id = TurnId(sender, message.boot, message.number)
                answer = self._recent_answers.find(id, now)
                self._send(sender, answer or self._decide(message, sender, now))
            case AskLeft(service, boot, number):
                self._remove_question(service, TurnId(sender, boot, number), now)
            case TurnLeft(service, boot, number, target):
                id = TurnId(sender, boot, number)
                self._end_turn(service, id, target, result_of(message), now)
            case OrderState():
                self._received_states.add(message, self._beliefs.targets)

    def _is_configured(self, service: str) -> bool:
        """Return whether a service is configured; a host that starts knows none."""
        cfg = self._beliefs.config
        return cfg is not None and cfg.has_service(service)

    def reconcile_counts(self, host: str, counts: dict[str, int]) -> None:
        """Correct the schedulers by the counts of requests in a host's beacon."""
        now = asyncio.get_running_loop().time()
        for active in self._active.values():
            active.scheduler.reconcile_host(host, counts, now)

    def forget_target(self, target_id: str) -> None:
        """Remove the state of a target that has left."""
        self._received_states.forget_target(target_id)
        for active in self._active.values():
            active.scheduler.forget_target(target_id)

    def _decide(self, ask, sender, now) -> OrderAnswer:
        active = self._activate(ask.service, now)
        request = request_of(ask, sender)
        found = self._eligibility.find(ask.service, request, active.since)
        if isinstance(request, ProgramRequest):
            decision = active.scheduler.admit_program(
                request, found.targets, found.capacity, now, found.limits
            )
        else:
            decision = active.scheduler.place_turn(
                request, found.targets, now, found.limits
            )
        answer = OrderAnswer(ask.boot, ask.number)
        match decision:
            case TurnQueued(seconds) | ProgramQueued(seconds):
                answer.is_queued = True
                answer.retry_seconds = max(MIN_RETRY_SECONDS, round(seconds, 3))
                active.waiting_until[request.id] = now + seconds + REPEAT_GRACE_SECONDS
                self._has_waiting.set()
                return answer
            case ProgramRefused(seconds) | PlacementDeferred(seconds):
                answer.retry_seconds = max(MIN_RETRY_SECONDS, round(seconds, 3))
            case TargetEntry(id=target_id):
                answer.target = target_id
        self._record_decision(active, request.id, answer, now)
        return answer

    def _activate(self, service, now) -> _ActiveScheduler:
        """Return the scheduler of a service, which begins or goes on at this host."""
        clock = elapsed_seconds()
        active = self._active.get(service)
        is_new = active is None
        if is_new:
            scheduler = self._new_scheduler(now, self._health.outstanding)
            active = self._active[service] = _ActiveScheduler(scheduler, clock, clock)
            spec = self._beliefs.config.service(service)
            scheduler.describe_targets(spec.memory_tokens, spec.tokens_per_event)
            self._log.info("order_kept", service=service)
        if not self._choice.is_primary_keeper(scheduling_name(service)):
            active.since = clock
        if is_new or clock - active.asked_at > IDLE_SECONDS:
            active.since = clock
            if not is_new:
                active.scheduler.resume(now)
            state = self._received_states.take(service)
            if state is not None:
                active.scheduler.restore(state, now)
        active.asked_at = clock
        return active

    def _record_decision(self, active, id, answer, now):
        active.waiting_until.pop(id, None)
        self._recent_answers.add(id, answer, now)

    def _remove_question(self, service, id, now):
        active = self._active.get(service)
        if active is None:
            return
        active.waiting_until.pop(id, None)
        active.scheduler.withdraw(id)
        answer = self._recent_answers.remove(id)
        if answer is not None and answer.target:
            self._end_turn(service, id, answer.target, TurnResult(), now)

    def _end_turn(self, service, id, target_id, result, now):
        active = self._active.get(service)
        if active is not None:
            active.scheduler.end_turn(id, target_id, result, now)
            self._grant_waiting(service, active, now)

    def _for_each_scheduler(self, action):
        """Call an action for each service; a fault of one must not stop the others."""
        now = asyncio.get_running_loop().time()
        for service, active in list(self._active.items()):
            try:
                action(service, active, now)
            except Exception as exc:
                self._log.error("scheduler_failed", exc, service=service)

    def _run_round(self, service, active, now):
        for id, until in list(active.waiting_until.items()):
            if until <= now:
                del active.waiting_until[id]
                active.scheduler.withdraw(id)
        self._grant_waiting(service, active, now)

    def _grant_waiting(self, service, active, now):
        if not active.waiting_until:
            return
        known: dict[tuple, Eligible] = {}

        def eligible(request: PlacementRequest | ProgramRequest) -> Eligible:
            excluded = getattr(request, "excluded_targets", None)
            version = getattr(request, "software_version", None)
            key = request.regions, excluded, version
            if key not in known:
                known[key] = self._eligibility.find(service, request, active.since)
            return known[key]

        for grant in active.scheduler.grant_waiting(eligible, now):
            answer = OrderAnswer(grant.id.boot, grant.id.number)
            match grant:
                case PlacementGrant(target=target):
                    answer.target = target.id
                case AdmissionWithdrawn(retry_seconds=seconds):
                    answer.retry_seconds = max(MIN_RETRY_SECONDS, round(seconds, 3))
            self._record_decision(active, grant.id, answer, now)
            self._send(grant.id.host, answer)

    def _report(self, service, active, now):
        """Log the state of a scheduler in use, and send it to the next candidates."""
        if elapsed_seconds() - active.asked_at > IDLE_SECONDS:
            return
        status = active.scheduler.status(now)
        self._log.info("scheduler_status", service=service, **status)
        hosts = self._choice.keepers(scheduling_name(service))
        if hosts[0] != self._own_ip:
            return
        for message in split_snapshot(service, active.scheduler.snapshot()):
            for host in hosts[1 : 1 + N_SUCCESSORS]:
                self._send(host, message)
