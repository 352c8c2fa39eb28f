"""Asks the host that schedules a service for decisions, and waits for them.

The question is one datagram, and its answer takes 1 to 3 ms. Work for which no target
is free waits at the scheduler's host. The requesting host then keeps the question open
and repeats it at the time that the answer names, with the time already waited: a lost
decision is sent again, and a successor of a lost scheduler's host can restore the order
of the queue.

A scheduler's host that is lost, frozen or slow delays a request by
`ANSWER_TIMEOUT_SECONDS`; it is then skipped, and the next candidate is asked. After
`MAX_UNANSWERED_ASKS` the host decides by itself, since no guarantee depends on the
scheduler.
"""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from swifttide_core.admission import PlacementDeferred, ProgramAdmitted, ProgramRefused
from swifttide_core.forwarding import ServiceSpec, TargetEntry
from swifttide_core.scheduling import (
    PlacementRequest,
    ProgramRequest,
    TurnId,
    TurnResult,
)
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.peers._keeper_choice import KeeperChoice
from swifttide_daemon.gateway.peers._peer import Peer
from swifttide_daemon.gateway.targets._order_messages import (
    AskLeft,
    OrderAnswer,
    OrderMessage,
)
from swifttide_daemon.gateway.targets._order_requests import (
    compose_ask,
    compose_turn_left,
)
from swifttide_daemon.telemetry import EventLog

ANSWER_TIMEOUT_SECONDS = 0.03
"""Time to wait for the first answer. A round trip to another zone takes 2 ms, and a
busy host needs some more time."""

MAX_UNANSWERED_ASKS = 2
"""Hosts in a row that may leave a question unanswered. Two hosts that fail at the same
time are rare; while a zone is cut off, more attempts would only delay the request."""

QUESTION_NUMBER_BITS = 53
"""Size of a question's number. JSON numbers are exact up to this size everywhere."""

MIN_RETRY_SECONDS = 0.02
"""Shortest time until a queued question is repeated, whatever the answer says."""

MAX_QUEUED_FRACTION = 0.5
"""Fraction of the remaining time of a request that it may wait at the scheduler. The
rest is left for running it, at a target that this host chooses."""

MAX_PROGRAM_WAIT_SECONDS = 2.0
"""Longest time that a program waits for its admission. The scheduler refuses a program
that can't meet its deadline long before; this bounds the effect of a fault there."""


@dataclass(frozen=True, slots=True)
class Place:
    """Target that the scheduler has assigned to a turn.

    Parameters
    ----------
    id : TurnId
    target : TargetEntry
    scheduler_host : str
        IP address of the host that is notified when the turn has left the target.
    """

    id: TurnId
    target: TargetEntry
    scheduler_host: str


@dataclass(slots=True)
class _PendingQuestion:
    hosts: set[str] = field(default_factory=set)
    """Hosts at which the question may wait."""
    answers: asyncio.Queue[tuple[OrderAnswer, str]] = field(
        default_factory=asyncio.Queue
    )

    async def next_answer(self, seconds) -> tuple[OrderAnswer, str] | None:
        """Return the next answer and its sender; None if none arrives in time."""
        if not self.answers.empty():
            return self.answers.get_nowait()
        try:
            async with asyncio.timeout(seconds):
                return await self.answers.get()
        except TimeoutError:
            return None


class SchedulerClient:
    """Requests admission and placement from the scheduler's host of each service.

    Parameters
    ----------
    own : Peer
        This host.
    choice : KeeperChoice
    beliefs : Beliefs
    send : callable
        Sends a message to an IP address, which may be this host's. It may be lost.
    log : EventLog
    """

    def __init__(
        self,
        own: Peer,
        choice: KeeperChoice,
        beliefs: Beliefs,
        send: Callable[[str, OrderMessage], None],
        log: EventLog,
    ):
        self._own = own
        self._choice = choice
        self._beliefs = beliefs
        self._send = send
        self._log = log
        self._pending: dict[int, _PendingQuestion] = {}
        self._places: dict[int, tuple[str, str]] = {}

    def new_id(self) -> TurnId:
        """Return an identity for a request."""
        number = secrets.randbits(QUESTION_NUMBER_BITS)
        return TurnId(self._own.ip, self._own.boot, number)

    async def admit_program(
        self, service: ServiceSpec, request: ProgramRequest, remaining_seconds: float
    ) -> ProgramAdmitted | ProgramRefused | None:
        """Ask whether a new program may begin; wait while it is queued.

        Parameters
        ----------
        service : ServiceSpec
        request : ProgramRequest
        remaining_seconds : float
            Time after which no caller waits for the request any more.

        Returns
        -------
        ProgramAdmitted or ProgramRefused or None
            None if there is no decision in time.
        """
        max_seconds = min(
            MAX_PROGRAM_WAIT_SECONDS, MAX_QUEUED_FRACTION * remaining_seconds
        )
        decision = await self._ask(service.name, request, max_seconds)
        if decision is None:
            return None
        answer, _ = decision
        if answer.retry_seconds > 0.0:
            return ProgramRefused(answer.retry_seconds)
        return ProgramAdmitted()

    async def place_turn(
        self, service: ServiceSpec, request: PlacementRequest
    ) -> Place | PlacementDeferred | None:
        """Ask for the target of a turn; wait while it is queued.

        The result is None if there is no decision in time, if the scheduler knows no
        target, or if its target may not be used.
        """
        max_seconds = MAX_QUEUED_FRACTION * request.remaining_seconds
        decision = await self._ask(service.name, request, max_seconds)
        if decision is None:
            return None
        answer, host = decision
        if answer.retry_seconds > 0.0:
            return PlacementDeferred(answer.retry_seconds)
        if not answer.target:
            return None
        target = self._beliefs.targets.get(answer.target)
        is_usable = (
            target is not None
            and target.service == service.name
            and request.accepts(target)
            and self._beliefs.may_use(target, request.regions)
        )
        if not is_usable:
            self._report_left(
                host, service.name, request.id, answer.target, TurnResult()
            )
            return None
        return Place(request.id, target, host)

    def report_turn_left(self, place: Place, result: TurnResult) -> None:
        """Report to the scheduler's host that a turn is no longer at its target."""
        target = place.target
        self._report_left(
            place.scheduler_host, target.service, place.id, target.id, result
        )

    def handle_answer(self, answer: OrderAnswer, sender: str) -> None:
        """Process an answer, or give back a place for which nobody waits."""
        if answer.boot != self._own.boot:
            return
        pending = self._pending.get(answer.number)
        if pending is not None and sender in pending.hosts:
            pending.answers.put_nowait((answer, sender))
            return
        target = self._beliefs.targets.get(answer.target)
        is_in_use = self._places.get(answer.number) == (sender, answer.target)
        if target is not None and not is_in_use:
            id = TurnId(self._own.ip, self._own.boot, answer.number)
            left = compose_turn_left(target.service, id, target.id, TurnResult())
            self._send(sender, left)

    async def _ask(self, service, request, max_seconds):
        """Return the decision on a request and its host; None if there is none."""
        number = request.id.number
        pending = self._pending[number] = _PendingQuestion()
        decision = None
        try:
            decision = await self._await_decision(
                service, request, pending, max_seconds
            )
            return decision
        finally:
            del self._pending[number]
            self._withdraw(service, request.id, pending, decision)

    async def _await_decision(self, service, request, pending, max_seconds):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        give_up_at = started_at + max_seconds
        n_unanswered = 0
        while n_unanswered < MAX_UNANSWERED_ASKS:
            elapsed = loop.time() - started_at
            if elapsed > 0.0 and loop.time() >= give_up_at:
                break
            host = self._choice.keepers(scheduling_name(service))[0]
            pending.hosts.add(host)
            self._send(host, compose_ask(service, request, elapsed))
            received = await pending.next_answer(ANSWER_TIMEOUT_SECONDS)
            if received is None:
                n_unanswered += 1
                self._choice.suspect(host)
                self._log.info("no_order", service=service, keeper=host)
                continue
            n_unanswered = 0
            answer, sender = received
            if answer.is_queued:
                self._leave_hosts(service, request.id, pending, keep=sender)
                wait = max(MIN_RETRY_SECONDS, answer.retry_seconds)
                until = min(loop.time() + wait, give_up_at)
                received = await _next_decision(pending, until)
            if received is not None:
                return received
        return None

    def _withdraw(self, service, id, pending, decision):
        """End a question at all hosts except the one that decided."""
        used = None
        if decision is not None:
            answer, host = decision
            used = host, answer.target
            if answer.target:
                self._places[id.number] = used
        self._leave_hosts(service, id, pending, keep=used[0] if used else None)
        while not pending.answers.empty():
            self.handle_answer(*pending.answers.get_nowait())

    def _leave_hosts(self, service, id, pending, keep):
        for host in pending.hosts - {keep}:
            pending.hosts.discard(host)
            self._send(host, AskLeft(service, id.boot, id.number))

    def _report_left(self, host, service, id, target_id, result):
        self._places.pop(id.number, None)
        self._send(host, compose_turn_left(service, id, target_id, result))


async def _next_decision(pending, until) -> tuple[OrderAnswer, str] | None:
    """Return the next answer that isn't a notice of queueing, and its sender."""
    loop = asyncio.get_running_loop()
    while True:
        received = await pending.next_answer(until - loop.time())
        if received is None or not received[0].is_queued:
            return received


def scheduling_name(service: str) -> str:
    """Return the name by which the scheduler's host of a service is chosen.

    Hosts of all versions have to use the same text, as they would choose different
    hosts otherwise.
    """
    return f"order of {service}"
