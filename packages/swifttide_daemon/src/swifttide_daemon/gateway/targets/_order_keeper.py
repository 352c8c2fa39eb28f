"""Places turns and admits programs of a service in one order over all hosts.

One host, the keeper, holds the `TurnScheduler` of a service: it decides to which target
each turn goes and whether a new program may begin. This module asks the keeper with one
datagram for each turn, and answers for the services whose keeper is this host. The load
for which it is made is described at `TurnScheduler`. Without it, each host decides by
the counts of requests that the other hosts reported some time ago.

An answer takes 1 to 3 ms. A keeper that is lost, frozen or slow delays a turn once by
`ANSWER_TIMEOUT_SECONDS`; after that it is skipped, and the host decides by itself as it
would without an order. Two hosts that both act as keeper only know less of each other's
turns: no guarantee depends on the order.
"""

import asyncio
import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from swifttide_core.admission import (
    PlacementDeferred,
    PlacementRequest,
    ProgramAdmitted,
    ProgramRefused,
    SchedulerStanding,
    TurnId,
    TurnScheduler,
)
from swifttide_core.forwarding import AllowedRegions, ServiceSpec, TargetEntry
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.peers._elapsed_clock import elapsed_seconds
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._keeper_choice import KeeperChoice
from swifttide_daemon.gateway.targets._order_messages import (
    AskEntry,
    AskPlace,
    OrderAnswer,
    OrderMessage,
    TurnLeft,
)
from swifttide_daemon.gateway.targets._target_health import TargetHealth
from swifttide_daemon.telemetry import EventLog

ANSWER_TIMEOUT_SECONDS = 0.03
"""Time to wait for a keeper's answer. A round trip to another zone takes 2 ms, and a
busy host needs some more time."""

QUESTION_NUMBER_BITS = 53
"""Size of a question's number. JSON numbers are exact up to this size everywhere."""

MAX_TURN_SECONDS = 60.0
"""Longest time for which a turn is counted if no message reports its end."""

KEEPER_SETTLE_SECONDS = 1.5
"""Time after which a new keeper uses the full rate limit. By then the turns that its
predecessor placed are older than the second over which requests are counted, and hosts
that skipped the keeper ask it again."""

KEEPER_IDLE_SECONDS = 1.0
"""A keeper that was not asked for this time may have had a successor meanwhile, and
counts as new."""

MIN_RETRY_SECONDS = 0.01
"""Shortest wait that is sent to a host: a few round trips to the keeper."""

MAX_SUBJECT_CHARS = 64
MAX_EXCLUDED_TARGETS = 8
MAX_CONNECTED_TARGETS = 16
"""The limits above keep a question within one packet."""


@dataclass(frozen=True, slots=True)
class Place:
    """Target that the keeper has assigned to a turn.

    Parameters
    ----------
    target : TargetEntry
    keeper : str
        IP address of the host that is notified when the turn has left the target.
    number : int
        Number of the question that asked for the place.
    """

    target: TargetEntry
    keeper: str
    number: int


@dataclass(slots=True)
class _KeeperTenure:
    """When this host became the keeper of an order, and when it was last asked."""

    since: float
    asked_at: float


class OrderKeeper:
    """Asks keepers for places, and answers for the services that this host keeps.

    Parameters
    ----------
    fleet : Fleet
    choice : KeeperChoice
    beliefs : Beliefs
    health : TargetHealth
    send : callable
        Sends a message to an IP address. The message may be lost.
    log : EventLog
    """

    def __init__(
        self,
        fleet: Fleet,
        choice: KeeperChoice,
        beliefs: Beliefs,
        health: TargetHealth,
        send: Callable[[str, OrderMessage], None],
        log: EventLog,
    ):
        self._own = fleet.own
        self._fleet = fleet
        self._choice = choice
        self._beliefs = beliefs
        self._health = health
        self._send = send
        self._log = log
        self._orders: dict[str, TurnScheduler] = {}
        self._tenures: dict[str, _KeeperTenure] = {}
        self._pending_answers: dict[int, asyncio.Future[OrderAnswer]] = {}

    async def enter(
        self,
        service: ServiceSpec,
        program: str,
        seconds: float | None,
        homes: AllowedRegions = None,
    ) -> ProgramAdmitted | ProgramRefused | None:
        """Ask the keeper whether a new program may begin.

        Parameters
        ----------
        service : ServiceSpec
        program : str
            Key of the program.
        seconds : float or None
            Time until the program should be finished, None if it has no such time.
        homes : frozenset of str or None
            Regions to which the program is bound.

        Returns
        -------
        ProgramAdmitted or ProgramRefused or None
            None if the keeper does not answer.
        """
        number = secrets.randbits(QUESTION_NUMBER_BITS)
        seconds = round(seconds or 0.0, 3)
        ask = AskEntry(
            service.name,
            self._own.boot,
            number,
            program,
            seconds,
            _sorted_or_none(homes),
        )
        answer, _ = await self._ask(service.name, ask)
        if answer is None:
            return None
        if answer.retry_seconds > 0.0:
            return ProgramRefused(answer.retry_seconds)
        return ProgramAdmitted()

    async def place(
        self,
        service: ServiceSpec,
        program: str,
        subject: str,
        last: str,
        seconds: float,
        without: frozenset[str],
        homes: AllowedRegions = None,
        connected: Iterable[str] = (),
    ) -> Place | PlacementDeferred | None:
        """Ask the keeper for the target of a turn.

        The result is None if the keeper does not answer or knows no target, or if its
        target may not be used.

        Parameters
        ----------
        service : ServiceSpec
        program, subject, last : str
            See `AskPlace`.
        seconds : float
            Time until no caller waits for the turn any more.
        without : frozenset of str
            Ids of targets that the turn must not go to.
        homes : frozenset of str or None
            Regions to which the turn is bound.
        connected : iterable of str
            Ids of targets to which this host has an idle connection.
        """
        number = secrets.randbits(QUESTION_NUMBER_BITS)
        ask = AskPlace(
            service.name,
            self._own.boot,
            number,
            program,
            self._own.zone,
            subject[:MAX_SUBJECT_CHARS],
            last,
            round(seconds, 3),
            sorted(without)[:MAX_EXCLUDED_TARGETS],
            _sorted_or_none(homes),
            sorted(connected)[:MAX_CONNECTED_TARGETS],
        )
        answer, keeper = await self._ask(service.name, ask)
        if answer and answer.retry_seconds > 0.0:
            return PlacementDeferred(answer.retry_seconds)
        target = self._beliefs.targets.get(answer.target) if answer else None
        if target is None:
            return None
        place = Place(target, keeper, number)
        is_usable = target.service == service.name
        is_usable = is_usable and self._beliefs.may_use(target, homes)
        if not is_usable or target.id in without:
            self.report_turn_left(place, None)
            return None
        return place

    def report_turn_left(
        self, place: Place, first_seconds: float | None, is_whole: bool = False
    ) -> None:
        """Report to the keeper that a turn is no longer at its target.

        Parameters
        ----------
        place : Place
        first_seconds : float or None
            Time from sending the turn to its first event, None if there was none.
        is_whole : bool
            Whether the answer was complete.
        """
        seconds = -1.0 if first_seconds is None else round(first_seconds, 4)
        message = TurnLeft(
            place.target.service,
            self._own.boot,
            place.number,
            place.target.id,
            seconds,
            is_whole,
        )
        if place.keeper == self._own.ip:
            self._record_turn_left(message, self._own.ip)
        else:
            self._send(place.keeper, message)

    def handle_message(self, message: OrderMessage, sender: str) -> None:
        """Process a message of another host."""
        match message:
            case OrderAnswer(boot, number) if boot == self._own.boot:
                waiting = self._pending_answers.get(number)
                if waiting is not None and not waiting.done():
                    waiting.set_result(message)
            case AskEntry() | AskPlace() if self._may_answer(sender):
                self._send(sender, self._answer(message, sender))
            case TurnLeft():
                self._record_turn_left(message, sender)

    def reconcile_counts(self, host: str, counts: dict[str, int]) -> None:
        """Correct the orders by the counts of requests under way in a host's beacon."""
        now = asyncio.get_running_loop().time()
        for order in self._orders.values():
            order.reconcile_host(host, counts, now)

    def forget_target(self, target_id: str) -> None:
        """Remove the state of a target that has left."""
        for order in self._orders.values():
            order.forget_target(target_id)

    async def _ask(self, service, ask) -> tuple[OrderAnswer | None, str]:
        keeper = self._choice.keepers(_order_name(service))[0]
        if keeper == self._own.ip:
            return self._answer(ask, keeper), keeper
        waiting = asyncio.get_running_loop().create_future()
        self._pending_answers[ask.number] = waiting
        try:
            self._send(keeper, ask)
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                return await waiting, keeper
        except TimeoutError:
            self._choice.suspect(keeper)
            self._log.info("no_order", service=service, keeper=keeper)
            return None, keeper
        finally:
            del self._pending_answers[ask.number]

    def _may_answer(self, sender) -> bool:
        """Return whether this host may answer a question of the sender.

        The sender has to be a known host, and this host needs a configuration, which it
        lacks at its start.
        """
        is_known = self._fleet.by_ip(sender) is not None
        return is_known and self._beliefs.config is not None

    def _answer(self, ask: AskEntry | AskPlace, sender: str) -> OrderAnswer:
        now = asyncio.get_running_loop().time()
        order = self._order_of(ask.service, now)
        answer = OrderAnswer(ask.boot, ask.number)
        targets = self._targets(ask.service, ask.regions)
        service = self._beliefs.config.service(ask.service)
        standing = self._standing(ask.service)
        match ask:
            case AskEntry(program=program, seconds=seconds):
                ids = [t.id for t in targets]
                places = sum(service.concurrency_at(t) for t in targets)
                # The low rate limit of a new keeper must not turn programs away: until
                # it is established, hosts may send within their own shares.
                limits = self._limits(service, targets, SchedulerStanding.established())
                match order.admit_program(program, seconds, ids, places, now, limits):
                    case ProgramRefused(retry_seconds):
                        answer.retry_seconds = retry_seconds
            case AskPlace():
                question = PlacementRequest(
                    TurnId(sender, ask.boot, ask.number),
                    ask.program,
                    ask.zone,
                    ask.subject,
                    ask.last,
                    min(ask.seconds, MAX_TURN_SECONDS),
                    frozenset(ask.connected),
                )
                found = [t for t in targets if t.id not in ask.without]
                limits = self._limits(service, found, standing)
                match order.place_turn(question, found, now, limits):
                    case TargetEntry(id=target_id):
                        answer.target = target_id
                    case PlacementDeferred(seconds):
                        answer.retry_seconds = max(MIN_RETRY_SECONDS, seconds)
        return answer

    def _limits(self, service, targets, standing) -> dict[str, float] | None:
        heard_fraction = self._fleet.heard_fraction()
        return self._beliefs.cold.keeper_limits(
            service, targets, standing, heard_fraction
        )

    def _standing(self, service) -> SchedulerStanding:
        """Return whether this host is a settled, new or stand-in keeper of a service.

        This says how certain it is that no other host keeps the order too.
        """
        now = elapsed_seconds()
        span = self._tenures.setdefault(service, _KeeperTenure(now, now))
        name = _order_name(service)
        is_first = self._choice.is_primary_keeper(name)
        if not is_first or now - span.asked_at > KEEPER_IDLE_SECONDS:
            span.since = now
        span.asked_at = now
        if not is_first:
            return SchedulerStanding.substitute(self._choice.n_candidates())
        if now - span.since < KEEPER_SETTLE_SECONDS:
            return SchedulerStanding.newly_elected()
        return SchedulerStanding.established()

    def _order_of(self, service, now) -> TurnScheduler:
        order = self._orders.get(service)
        if order is None:
            order = self._orders[service] = TurnScheduler(now, self._health.outstanding)
            self._log.info("order_kept", service=service)
        return order

    def _targets(self, service, regions) -> list[TargetEntry]:
        homes = None if regions is None else frozenset(regions)
        targets = self._beliefs.targets_of(service, homes)
        return [t for t in targets if self._health.usable(t.id)] or targets

    def _record_turn_left(self, message, sender):
        order = self._orders.get(message.service)
        if order is None:
            return
        turn = TurnId(sender, message.boot, message.number)
        seconds = message.first_seconds
        now = asyncio.get_running_loop().time()
        first_seconds = seconds if seconds >= 0.0 else None
        order.end_turn(turn, message.target, first_seconds, now, message.is_whole)


def _order_name(service: str) -> str:
    return f"order of {service}"


def _sorted_or_none(homes: AllowedRegions) -> list[str] | None:
    return None if homes is None else sorted(homes)
