"""Answering a caller's request with a target's answer."""

import asyncio
import math
import random
from collections.abc import Callable

from swifttide_core.admission import PlaceLater
from swifttide_core.forwarding import (
    Candidate,
    RequestKind,
    TargetEntry,
    choose_target,
)
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.budgets._account_rows import program_key
from swifttide_daemon.gateway.callers._admission import Admission
from swifttide_daemon.gateway.callers._answer_relay import AnswerRelay
from swifttide_daemon.gateway.callers._caller_channel import CallerChannel
from swifttide_daemon.gateway.callers._caller_request import CallerRequest
from swifttide_daemon.gateway.callers._dialect import Dialect
from swifttide_daemon.gateway.callers._job import Progress, age_of
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.targets._order_keeper import OrderKeeper, Place
from swifttide_daemon.gateway.targets._strike_keeper import StrikeKeeper
from swifttide_daemon.gateway.targets._target_answer import (
    MayHaveRun,
    NotRun,
    TargetFailure,
)
from swifttide_daemon.gateway.targets._target_client import (
    TargetClient,
)
from swifttide_daemon.gateway.targets._target_health import TargetHealth
from swifttide_daemon.gateway.turns._line_places import LinePlaces
from swifttide_daemon.telemetry import EventLog

MAX_SENDS = 5
"""Targets asked for one request, those that refused it unrun included."""


PACE_WAIT_PART = 0.3
"""Part of a request's time in which it waits for targets that have had enough."""

MIN_PACE_RETRY_SECONDS = 0.1
MAX_PACE_RETRY_SECONDS = 2.0
"""When to come back after that: from a few turns to most of a target's cold time."""


class Forwarder:
    """Decides on each request and carries it to a target.

    Parameters
    ----------
    cfg : GatewaySettings
    beliefs : Beliefs
    dialect : Dialect
    client : TargetClient
    health : TargetHealth
    order : OrderKeeper
    fleet : Fleet
    admission : Admission
    relay : AnswerRelay
    elsewhere_after : callable
        Returns after how many seconds callers reach a host that isn't cut off from
        the store and the other zones; None while this one isn't.
    strikes : StrikeKeeper
    metrics : GatewayMetrics
    log : EventLog
    """

    def __init__(
        self,
        cfg,
        beliefs: Beliefs,
        dialect: Dialect,
        client: TargetClient,
        health: TargetHealth,
        order: OrderKeeper,
        fleet: Fleet,
        admission: Admission,
        relay: AnswerRelay,
        elsewhere_after: Callable[[], float | None],
        strikes: StrikeKeeper,
        metrics: GatewayMetrics,
        log: EventLog,
    ):
        self._zone = cfg.zone
        self._host = cfg.ip
        self._beliefs = beliefs
        self._dialect = dialect
        self._client = client
        self._health = health
        self._order = order
        self._fleet = fleet
        self._lines = LinePlaces()
        self._admission = admission
        self._relay = relay
        self._elsewhere_after = elsewhere_after
        self._strikes = strikes
        self._metrics = metrics
        self._log = log

    async def handle(self, req: CallerRequest, channel: CallerChannel) -> None:
        """Answer one request."""
        try:
            await self._admit_and_run(req, channel)
        except Refusal as refusal:
            await self._refuse(req, channel, refusal)
        except asyncio.CancelledError:
            self._log.info("caller_left", request_id=req.id)
            raise
        except OSError:
            raise
        except Exception as exc:
            # A fault of this program: the caller is told that nothing is known of
            # its request, and the connection's other requests go on.
            self._log.error("request_failed", exc, request_id=req.id)
            await self._refuse(req, channel, Refusal(502, "internal"))

    async def _refuse(self, req, channel, refusal):
        retry_after = refusal.retry_after
        elsewhere = self._elsewhere_after()
        if retry_after is not None and elsewhere is not None:
            # The next try then finds a host that isn't cut off.
            retry_after = elsewhere
        self._log.info(
            "request_refused",
            request_id=req.id,
            program=req.turn.program,
            first_turn=req.turn.is_first,
            status=refusal.status,
            reason=refusal.reason,
            retry_after=retry_after,
        )
        self._metrics.answered(refusal.status, refusal.reason.partition(":")[0])
        if channel.started:
            channel.break_off()
            return
        fields = self._dialect.refusal_fields(req.id, retry_after)
        await channel.answer(refusal.status, fields, refusal.reason.encode())

    async def _admit_and_run(self, req, channel):
        progress = Progress()
        job = await self._admission.admit(req, channel, progress)
        try:
            await self._run_in_time(job, progress)
        except Refusal:
            if not progress.sent:
                self._admission.take_back(job)
            raise

    async def _run_in_time(self, job, progress):
        """Run a job; end it with an answer when its time is up."""
        try:
            async with asyncio.timeout_at(job.expires_at):
                await self._run(job, progress)
        except TimeoutError:
            if not progress.sent:
                raise Refusal(503, "no_target_in_time", 0.2) from None
            raise Refusal(504, "target_too_slow") from None
        finally:
            self._admission.settle(job, progress)

    async def _run(self, job, progress):
        """Send a job to targets until one answers it."""
        tried: set[str] = set()
        reason = "no_target"
        for _ in range(MAX_SENDS):
            target, place = await self._find_target(job, tried, progress)
            if target is None:
                break
            n_before = len(progress.sent)
            is_whole = False
            try:
                await self._run_at(job, progress, target)
                is_whole = True
                return
            except TargetFailure as failure:
                reason = failure.outcome.reason
                self._note_failure(job, target, failure.outcome)
                match failure.outcome:
                    case NotRun():
                        tried.add(target.id)
                        del progress.sent[n_before:]
                    case MayHaveRun():
                        if not job.may_repeat(progress):
                            break
            finally:
                if place is not None:
                    self._order.left(place, progress.wait_seconds, is_whole)
        if progress.sent:
            raise Refusal(502, reason)
        raise Refusal(503, reason, random.uniform(0.1, 0.4))

    def _note_failure(self, job, target, outcome):
        self._log.info(
            "target_failed",
            request_id=job.req.id,
            target=target.id,
            verdict=type(outcome).__name__,
            reason=outcome.reason,
        )
        self._health.failed(target.id, outcome)
        match outcome:
            case MayHaveRun(broken=True):
                self._strikes.broke(job.fingerprint, target)
            case NotRun(refused=True):
                self._strikes.refused(target.id)

    async def _find_target(
        self, job, tried, progress
    ) -> tuple[TargetEntry | None, Place | None]:
        """Return where to send next, and its place in the order if it has one.

        Waits while all targets have had what they may get in this second.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + (job.expires_at - loop.time()) * PACE_WAIT_PART
        while True:
            place = await self._ask_place(job, tried, progress)
            if isinstance(place, Place):
                return place.target, place
            found = self._choose(job, tried, progress.sent)
            match found:
                case PlaceLater(seconds):
                    if isinstance(place, PlaceLater):
                        seconds = min(seconds, place.seconds)
                    if loop.time() + seconds > until:
                        # It would be late: the caller can do better.
                        self._refuse_paced(progress, seconds)
                    await asyncio.sleep(seconds * random.uniform(1.0, 1.2))
                case _:
                    return found, None

    def _refuse_paced(self, progress, seconds):
        if progress.sent:
            raise Refusal(502, "targets_cold")
        retry_after = min(seconds, MAX_PACE_RETRY_SECONDS)
        raise Refusal(503, "targets_cold", max(retry_after, MIN_PACE_RETRY_SECONDS))

    async def _ask_place(self, job, tried, progress) -> Place | PlaceLater | None:
        """Ask the order where a turn goes, or a call whose targets may be cold.

        One that may have run somewhere goes where that allows, whatever the order.
        """
        is_ordered = job.route.kind is RequestKind.STREAMING
        is_ordered = is_ordered or self._beliefs.cold.terms(job.service).binds
        if not is_ordered or progress.sent:
            return None
        req = job.req
        place = await self._order.place(
            job.service,
            program_key(job.customer, req.turn.program) if req.turn.program else "",
            req.subject,
            self._lines.last(job.customer, req) or "",
            job.expires_at - asyncio.get_running_loop().time(),
            frozenset(tried),
            job.homes,
            self._connected(job),
        )
        if isinstance(place, Place) and not self._health.usable(place.target.id):
            self._order.left(place, None)
            return None
        return place

    def _connected(self, job) -> list[str]:
        targets = self._beliefs.targets_of(job.service.name, job.homes)
        return [t.id for t in targets if self._client.is_connected(t)]

    def _choose(self, job, tried, may_have_run) -> TargetEntry | PlaceLater | None:
        """Return the target to send to next without the order, None when none is left.

        Targets beyond ``max_attempts`` are asked only when the ones before them have
        ended: then they don't count.
        """
        targets = self._beliefs.targets_of(job.service.name, job.homes)
        usable = [t for t in targets if t.id not in tried]
        used = {t for t in may_have_run if not self._health.ended(t)}
        if len(used) >= job.route.max_attempts:
            usable = [t for t in usable if t.id in used]
        else:
            usable = [t for t in usable if t.id not in used] or usable
        healthy = [t for t in usable if self._health.usable(t.id)] or usable
        cold = self._beliefs.cold
        n_hosts = self._fleet.n_hosts()
        allowed, wait_seconds = cold.within_share(job.service, healthy, n_hosts)
        if healthy and not allowed:
            return PlaceLater(wait_seconds if math.isfinite(wait_seconds) else 1.0)
        candidates = [self._candidate(target) for target in allowed]
        last = self._lines.last(job.customer, job.req)
        subject = job.req.subject
        found = choose_target(candidates, self._zone, subject, last, self._host)
        if found is not None:
            cold.sent_alone(found.id)
        return found

    def _candidate(self, target) -> Candidate:
        outstanding = self._health.outstanding(target.id)
        return Candidate(target, outstanding, self._client.is_connected(target))

    async def _run_at(self, job, progress, target):
        loop = asyncio.get_running_loop()
        req = job.req
        fields = self._dialect.target_fields(
            req,
            job.customer,
            target.id,
            job.expires_at - loop.time(),
            progress.last_id,
            len(job.body),
        )
        exchange = None
        places = job.service.concurrency_at(target)
        progress.target_load = self._health.outstanding(target.id) / places
        self._health.sent(target.id)
        try:
            conn = await self._client.connect(target)
            if not self._beliefs.may_use(target, job.homes):
                # Emptied or drained since it was chosen: a connection may take seconds.
                self._client.release(target, conn)
                raise TargetFailure(NotRun("no longer takes new work"))
            # From here on nobody can say that it hasn't run.
            progress.sent.append(target.id)
            progress.sent_seconds = age_of(req)
            exchange = await self._client.send(
                conn,
                target,
                req.id,
                req.method,
                req.target,
                fields,
                job.body,
            )
            await self._relay.pass_on(job, progress, exchange)
            self._health.answered(target.id)
            self._lines.served(job.customer, req, target.id)
            self._strikes.ran(job.fingerprint)
        finally:
            self._health.ended_request(target.id)
            if exchange is not None and not exchange.complete:
                exchange.cancel()
