"""Answering a caller's request with a target's answer."""

import asyncio
import random
from collections.abc import Callable

from swifttide_core.forwarding import (
    Candidate,
    CustomerTerms,
    RequestKind,
    Route,
    TargetEntry,
    choose_target,
)
from swifttide_core.strikes import Refused, fingerprint_of
from swifttide_daemon.gateway._answer_relay import AnswerRelay
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway._caller_channel import CallerChannel
from swifttide_daemon.gateway._caller_request import CallerRequest
from swifttide_daemon.gateway._dialect import Dialect
from swifttide_daemon.gateway._job import Job, Progress, age_of
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway._rate_keeper import RateKeeper
from swifttide_daemon.gateway._refusal import Refusal
from swifttide_daemon.gateway._strike_keeper import StrikeKeeper
from swifttide_daemon.gateway._target_answer import (
    MayHaveRun,
    NotRun,
    TargetFailure,
)
from swifttide_daemon.gateway._target_client import (
    TargetClient,
)
from swifttide_daemon.gateway._target_health import TargetHealth
from swifttide_daemon.gateway._turn_keeper import TurnKeeper
from swifttide_daemon.telemetry import EventLog

MAX_SENDS = 5
"""Targets asked for one request, those that refused it unrun included."""

MAX_RATE_WAIT_SECONDS = 1.5
"""Longest wait for a customer's rate: a turn of a program is sent again twice, and
what waited longer would mostly be late."""

RATE_WAIT_PART = 0.5
"""Part of a request's time that it may spend waiting for its customer's rate; the rest
is for the work."""

DEFAULT_PATIENCE_SECONDS = 60.0
"""For a request whose caller and route name no time."""


class Forwarder:
    """Decides on each request and carries it to a target.

    Parameters
    ----------
    cfg : GatewaySettings
    beliefs : Beliefs
    dialect : Dialect
    client : TargetClient
    health : TargetHealth
    budgets : BudgetKeeper
    turns : TurnKeeper
    elsewhere_after : callable
        Returns after how many seconds callers reach a host that isn't cut off from
        the store and the other zones; None while this one isn't.
    rates : RateKeeper
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
        budgets: BudgetKeeper,
        turns: TurnKeeper,
        elsewhere_after: Callable[[], float | None],
        rates: RateKeeper,
        strikes: StrikeKeeper,
        metrics: GatewayMetrics,
        log: EventLog,
    ):
        self._zone = cfg.zone
        self._beliefs = beliefs
        self._dialect = dialect
        self._client = client
        self._health = health
        self._budgets = budgets
        self._turns = turns
        self._elsewhere_after = elsewhere_after
        self._rates = rates
        self._strikes = strikes
        self._metrics = metrics
        self._log = log
        self._relay = AnswerRelay(
            dialect, turns, elsewhere_after, beliefs, metrics, log
        )

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
        route, terms = self._check(req)
        patience = req.patience_seconds or DEFAULT_PATIENCE_SECONDS
        expires_at = req.received_at + min(patience, route.timeout_seconds)
        service = self._beliefs.config.service(self._pick_service(route))
        customer = terms.name if terms else ""
        fingerprint = self._check_strikes(req, customer)
        progress = Progress()
        if terms:
            wait = self._rate_wait(req, customer, expires_at)
            await self._rates.take(req.id, terms, wait)
            progress.rate_seconds = age_of(req)
        try:
            body = await self._whole_input(req, route, customer)
            reservation = await self._reserve(req, route, customer)
            job = Job(
                req,
                route,
                service,
                customer,
                expires_at,
                body,
                reservation,
                channel,
                fingerprint,
            )
            await self._run_in_time(job, progress)
        except Refusal:
            if terms and not progress.sent:
                self._rates.refund(terms)
            raise

    def _check(self, req) -> tuple[Route, CustomerTerms | None]:
        """Find route and customer; raises `Refusal`."""
        cfg = self._beliefs.config
        if cfg is None or not self._beliefs.targets_known:
            raise Refusal(503, "starting", 0.5)
        route = cfg.find_route(req.host, req.path)
        if route is None:
            raise Refusal(404, "no_such_route")
        terms = cfg.customer_of(req.key) if req.key else None
        if terms is None and cfg.needs_keys and not route.public:
            raise Refusal(401, "unknown_key")
        return route, terms

    def _rate_wait(self, req, customer, expires_at) -> float:
        """Return how long a request may wait for its customer's rate.

        A program that is refused its next call is lost with all that was spent on
        it; a new one has cost nothing yet.
        """
        turn = req.turn
        if not turn.program:
            return 0.0
        known = self._budgets.knows(customer, turn.program)
        if turn.budget_tokens and not turn.previous and not known:
            return 0.0
        left = expires_at - asyncio.get_running_loop().time()
        return min(MAX_RATE_WAIT_SECONDS, left * RATE_WAIT_PART)

    def _check_strikes(self, req, customer):
        """Refuse a request that crashes whatever runs it; return its fingerprint."""
        kind = f"{customer} {req.method} {req.path}"
        fingerprint = fingerprint_of(req.body, kind)
        match self._strikes.standing(fingerprint):
            case Refused(seconds):
                raise Refusal(503, "crashes_targets", seconds)
        return fingerprint

    def _pick_service(self, route):
        if len(route.services) == 1:
            return route.services[0].service
        weights = [w.weight for w in route.services]
        picked = random.choices(route.services, weights)[0]
        return picked.service

    async def _whole_input(self, req, route, customer):
        """Return what the target is to read: the history, then the new input."""
        if not (route.keeps_turns and req.turn.previous):
            return req.body
        history = await self._turns.transcript(req.id, customer, req.turn.previous)
        return history + req.body

    async def _reserve(self, req, route, customer):
        turn = req.turn
        if not (turn.program and turn.budget_tokens):
            return None
        if route.kind is not RequestKind.STREAMING:
            return None
        return await self._budgets.reserve(
            req.id, customer, turn.program, turn.budget_tokens, turn.most_tokens
        )

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
            if job.reservation is not None:
                used = progress.n_events * job.service.tokens_per_event
                self._budgets.settle(job.reservation, used)

    async def _run(self, job, progress):
        """Send a job to targets until one answers it."""
        tried: set[str] = set()
        reason = "no_target"
        for _ in range(MAX_SENDS):
            target = self._choose(job, tried, progress.sent)
            if target is None:
                break
            n_before = len(progress.sent)
            try:
                await self._run_at(job, progress, target)
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

    def _choose(self, job, tried, may_have_run) -> TargetEntry | None:
        """Return the target to send to next, None when none is left.

        Targets beyond ``max_attempts`` are asked only when the ones before them have
        ended: then they don't count.
        """
        targets = self._beliefs.targets_of(job.service.name)
        usable = [t for t in targets if t.id not in tried]
        used = {t for t in may_have_run if not self._health.ended(t)}
        if len(used) >= job.route.max_attempts:
            usable = [t for t in usable if t.id in used]
        else:
            usable = [t for t in usable if t.id not in used] or usable
        healthy = [t for t in usable if self._health.usable(t.id)] or usable
        candidates = [Candidate(t, self._health.outstanding(t.id)) for t in healthy]
        return choose_target(candidates, self._zone, job.req.subject)

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
        self._health.sent(target.id)
        try:
            conn = await self._client.connect(target)
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
            self._strikes.ran(job.fingerprint)
        finally:
            self._health.ended_request(target.id)
            if exchange is not None and not exchange.complete:
                exchange.cancel()
