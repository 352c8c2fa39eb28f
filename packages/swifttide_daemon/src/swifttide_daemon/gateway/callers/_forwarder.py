"""Forwards admitted requests to targets, and answers refused ones.

Targets are chosen by the request order, which all hosts of the fleet share, or by this
host alone where the order doesn't apply or doesn't answer. A request that failed at a
target is sent again only if it is known not to have run, or if its route allows it to
run again or to be resumed.
"""

import asyncio
import math
import random
from collections.abc import Callable

from swifttide_core.admission import PlacementDeferred
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
from swifttide_daemon.gateway.callers._job import Progress, request_age_seconds
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
from swifttide_daemon.gateway.turns._prompt_locations import PromptLocations
from swifttide_daemon.telemetry import EventLog

MAX_SEND_ATTEMPTS = 5
"""Attempts to send one request to a target, including those that a target refused
without running the request."""


PACING_WAIT_FRACTION = 0.3
"""Fraction of the time left to a request that it may wait while all targets have
received the requests that their pacing allows for now."""

MIN_PACING_RETRY_SECONDS = 0.1
MAX_PACING_RETRY_SECONDS = 2.0
"""Bounds of the retry delay sent to the caller when that wait would be too long: from
the time of a few turns to most of a target's cold period."""


class Forwarder:
    """Admits requests, sends them to targets and answers those that fail.

    Parameters
    ----------
    cfg : GatewaySettings
    beliefs : Beliefs
        Targets and configuration as this host knows them.
    dialect : Dialect
        Header fields of requests to targets and of refusals.
    client : TargetClient
        Connections to targets.
    health : TargetHealth
        Outstanding requests and failures of each target.
    order : OrderKeeper
        Client of the request order that all hosts share.
    fleet : Fleet
        The other hosts.
    admission : Admission
    relay : AnswerRelay
    failover_delay_seconds : callable
        While this host is cut off from the store and the other zones, returns the
        seconds until callers are routed to another host; otherwise returns None.
    strikes : StrikeKeeper
        Fingerprints of requests that crashed targets.
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
        failover_delay_seconds: Callable[[], float | None],
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
        self._prompt_locations = PromptLocations()
        self._admission = admission
        self._relay = relay
        self._failover_delay_seconds = failover_delay_seconds
        self._strikes = strikes
        self._metrics = metrics
        self._log = log

    async def handle(self, req: CallerRequest, channel: CallerChannel) -> None:
        """Answer one request with a target's response or a refusal."""
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
            # A bug in the gateway. The caller gets 502, since its request may have
            # run, and later requests of the connection are still served.
            self._log.error("request_failed", exc, request_id=req.id)
            await self._refuse(req, channel, Refusal(502, "internal"))

    async def _refuse(self, req, channel, refusal):
        retry_after = refusal.retry_after
        failover_delay = self._failover_delay_seconds()
        if retry_after is not None and failover_delay is not None:
            # By then the retry reaches a host that isn't cut off.
            retry_after = failover_delay
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
            channel.abort()
            return
        fields = self._dialect.refusal_fields(req.id, retry_after)
        await channel.answer(refusal.status, fields, refusal.reason.encode())

    async def _admit_and_run(self, req, channel):
        progress = Progress()
        job = await self._admission.admit(req, channel, progress)
        try:
            await self._run_with_deadline(job, progress)
        except Refusal:
            if not progress.sent_target_ids:
                self._admission.refund_unsent(job)
            raise

    async def _run_with_deadline(self, job, progress):
        """Run a job; raises `Refusal` at its deadline."""
        try:
            async with asyncio.timeout_at(job.expires_at):
                await self._run(job, progress)
        except TimeoutError:
            if not progress.sent_target_ids:
                raise Refusal(503, "no_target_in_time", 0.2) from None
            raise Refusal(504, "target_too_slow") from None
        finally:
            self._admission.settle(job, progress)

    async def _run(self, job, progress):
        """Send a job to targets until one answers or no further attempt is allowed."""
        tried: set[str] = set()
        reason = "no_target"
        for _ in range(MAX_SEND_ATTEMPTS):
            target, place = await self._find_target(job, tried, progress)
            if target is None:
                break
            n_before = len(progress.sent_target_ids)
            is_whole = False
            try:
                await self._send_to(job, progress, target)
                is_whole = True
                return
            except TargetFailure as failure:
                reason = failure.outcome.reason
                self._note_failure(job, target, failure.outcome)
                match failure.outcome:
                    case NotRun():
                        tried.add(target.id)
                        del progress.sent_target_ids[n_before:]
                    case MayHaveRun():
                        if not job.may_repeat(progress):
                            break
            finally:
                if place is not None:
                    self._order.report_turn_left(
                        place, progress.first_event_wait_seconds, is_whole
                    )
        if progress.sent_target_ids:
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
        self._health.record_failure(target.id, outcome)
        match outcome:
            case MayHaveRun(broken=True):
                self._strikes.record_broken_request(job.fingerprint, target)
            case NotRun(refused=True):
                self._strikes.record_refused_connection(target.id)

    async def _find_target(
        self, job, tried, progress
    ) -> tuple[TargetEntry | None, Place | None]:
        """Return the next target, and the place that the order assigned, if any.

        Waits while all targets have received the requests that their pacing allows for
        now; raises `Refusal` where that would take too long.
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + (job.expires_at - loop.time()) * PACING_WAIT_FRACTION
        while True:
            place = await self._request_placement(job, tried, progress)
            if isinstance(place, Place):
                return place.target, place
            found = self._choose(job, tried, progress.sent_target_ids)
            match found:
                case PlacementDeferred(seconds):
                    if isinstance(place, PlacementDeferred):
                        seconds = min(seconds, place.retry_seconds)
                    if loop.time() + seconds > until:
                        # Too late for this attempt: the caller should retry instead.
                        self._refuse_paced(progress, seconds)
                    await asyncio.sleep(seconds * random.uniform(1.0, 1.2))
                case _:
                    return found, None

    def _refuse_paced(self, progress, seconds):
        if progress.sent_target_ids:
            raise Refusal(502, "targets_cold")
        retry_after = min(seconds, MAX_PACING_RETRY_SECONDS)
        raise Refusal(503, "targets_cold", max(retry_after, MIN_PACING_RETRY_SECONDS))

    async def _request_placement(
        self, job, tried, progress
    ) -> Place | PlacementDeferred | None:
        """Ask the request order for a target.

        Only streams, and requests whose targets may be cold, are ordered. A request
        that may already have run at a target isn't: its next target depends on that.

        Returns
        -------
        Place, PlacementDeferred or None
            The assigned target, the seconds until one may be assigned, or None where
            this host has to choose.
        """
        is_ordered = job.route.kind is RequestKind.STREAMING
        is_ordered = is_ordered or self._beliefs.cold.terms(job.service).is_limited
        if not is_ordered or progress.sent_target_ids:
            return None
        req = job.req
        place = await self._order.place(
            job.service,
            program_key(job.customer, req.turn.program) if req.turn.program else "",
            req.subject,
            self._prompt_locations.last_target_id(job.customer, req) or "",
            job.expires_at - asyncio.get_running_loop().time(),
            frozenset(tried),
            job.homes,
            self._connected_target_ids(job),
        )
        if isinstance(place, Place) and not self._health.usable(place.target.id):
            self._order.report_turn_left(place, None)
            return None
        return place

    def _connected_target_ids(self, job) -> list[str]:
        targets = self._beliefs.targets_of(job.service.name, job.homes)
        return [t.id for t in targets if self._client.is_connected(t)]

    def _choose(
        self, job, tried, may_have_run
    ) -> TargetEntry | PlacementDeferred | None:
        """Choose the next target without the request order; None when none is left.

        The route's ``max_attempts`` limits the number of targets that may run the
        request. A target that has terminated since it got the request isn't counted.
        """
        targets = self._beliefs.targets_of(job.service.name, job.homes)
        usable = [t for t in targets if t.id not in tried]
        used = {t for t in may_have_run if not self._health.has_ended(t)}
        if len(used) >= job.route.max_attempts:
            usable = [t for t in usable if t.id in used]
        else:
            usable = [t for t in usable if t.id not in used] or usable
        healthy = [t for t in usable if self._health.usable(t.id)] or usable
        cold = self._beliefs.cold
        n_hosts = self._fleet.n_hosts()
        allowed, wait_seconds = cold.targets_within_share(job.service, healthy, n_hosts)
        if healthy and not allowed:
            return PlacementDeferred(
                wait_seconds if math.isfinite(wait_seconds) else 1.0
            )
        candidates = [self._candidate(target) for target in allowed]
        last = self._prompt_locations.last_target_id(job.customer, job.req)
        subject = job.req.subject
        found = choose_target(candidates, self._zone, subject, last, self._host)
        if found is not None:
            cold.record_unkept_request(found.id)
        return found

    def _candidate(self, target) -> Candidate:
        outstanding = self._health.outstanding(target.id)
        return Candidate(target, outstanding, self._client.is_connected(target))

    async def _send_to(self, job, progress, target):
        loop = asyncio.get_running_loop()
        req = job.req
        fields = self._dialect.target_fields(
            req,
            job.customer,
            target.id,
            job.expires_at - loop.time(),
            progress.last_event_id,
            len(job.body),
        )
        exchange = None
        places = job.service.concurrency_at(target)
        progress.target_load = self._health.outstanding(target.id) / places
        self._health.record_sent(target.id)
        try:
            conn = await self._client.connect(target, len(job.body), job.expires_at)
            if not self._beliefs.may_use(target, job.homes):
                # The zone was emptied or the target drained while connecting, which may
                # take seconds.
                self._client.release(target, conn)
                raise TargetFailure(NotRun("no longer takes new work"))
            # From here on the target may have run the request.
            progress.sent_target_ids.append(target.id)
            progress.sent_seconds = request_age_seconds(req)
            exchange = await self._client.send(
                conn,
                target,
                req.id,
                req.method,
                req.target,
                fields,
                job.body,
            )
            await self._relay.relay(job, progress, exchange)
            self._health.record_answer(target.id)
            self._prompt_locations.record(job.customer, req, target.id)
            self._strikes.record_success(job.fingerprint)
        finally:
            self._health.record_ended(target.id)
            if exchange is not None and not exchange.complete:
                exchange.cancel()
