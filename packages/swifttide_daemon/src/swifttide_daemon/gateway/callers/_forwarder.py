"""Forwards admitted requests to targets, and answers refused ones.

Targets are chosen by the scheduler of the service, which all hosts of the fleet share,
or by this host alone where the scheduler doesn't apply or doesn't answer. A request
that failed at a target is sent again only if it is known not to have run, or if its
route allows it to run again or to be resumed.
"""

import asyncio
import random
from collections.abc import Callable

from swifttide_core.resumption import StreamOrigin
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._freshness import Freshness
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.callers._admission import Admission
from swifttide_daemon.gateway.callers._answer_relay import AnswerRelay
from swifttide_daemon.gateway.callers._caller_channel import CallerChannel
from swifttide_daemon.gateway.callers._caller_request import CallerRequest
from swifttide_daemon.gateway.callers._dialect import Dialect
from swifttide_daemon.gateway.callers._job import (
    Progress,
    request_age_seconds,
    resumption_fields,
    work_fields,
)
from swifttide_daemon.gateway.callers._refusal import NO_TARGET_OF_ORIGIN, Refusal
from swifttide_daemon.gateway.callers._target_finder import TargetFinder
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.targets._scheduler_client import SchedulerClient
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
    scheduler : SchedulerClient
        Client of the scheduler that all hosts share.
    fleet : Fleet
        The other hosts.
    admission : Admission
    relay : AnswerRelay
    failover_delay_seconds : callable
        While this host is cut off from the store and the other zones, returns the
        seconds until callers are routed to another host; otherwise returns None.
    strikes : StrikeKeeper
        Fingerprints of requests that crashed targets.
    freshness : Freshness
        Brings what this host knows up to date.
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
        scheduler: SchedulerClient,
        fleet: Fleet,
        admission: Admission,
        relay: AnswerRelay,
        failover_delay_seconds: Callable[[], float | None],
        strikes: StrikeKeeper,
        freshness: Freshness,
        metrics: GatewayMetrics,
        log: EventLog,
    ):
        self._beliefs = beliefs
        self._dialect = dialect
        self._client = client
        self._health = health
        self._scheduler = scheduler
        self._prompt_locations = PromptLocations()
        self._targets = TargetFinder(
            cfg.zone,
            cfg.ip,
            beliefs,
            client,
            health,
            scheduler,
            fleet,
            self._prompt_locations,
        )
        self._admission = admission
        self._relay = relay
        self._failover_delay_seconds = failover_delay_seconds
        self._strikes = strikes
        self._freshness = freshness
        self._metrics = metrics
        self._log = log

    async def handle(self, req: CallerRequest, channel: CallerChannel) -> None:
        """Answer one request with a target's response or a refusal."""
        progress = Progress()
        try:
            await self._admit_and_run(req, channel, progress)
        except Refusal as refusal:
            await self._refuse(req, channel, progress, refusal)
        except asyncio.CancelledError:
            self._log.info("caller_left", request_id=req.id)
            raise
        except OSError:
            raise
        except Exception as exc:
            # A bug in the gateway. The caller gets 502, since its request may have
            # run, and later requests of the connection are still served.
            self._log.error("request_failed", exc, request_id=req.id)
            await self._refuse(req, channel, progress, Refusal(502, "internal"))

    async def _refuse(self, req, channel, progress, refusal):
        retry_after = refusal.retry_after
        failover_delay = self._failover_delay_seconds()
        if retry_after is not None and failover_delay is not None:
            # By then the retry reaches a host that isn't cut off.
            retry_after = failover_delay
        self._log.info(
            "request_refused",
            request_id=req.id,
            program=req.turn.program,
            **work_fields(progress.work),
            first_turn=req.turn.is_first,
            **resumption_fields(req),
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

    async def _admit_and_run(self, req, channel, progress):
        await self._freshness.catch_up()
        job = await self._admission.admit(req, channel, progress)
        progress.resume_turn(job.resumed_events)
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
            target, place = await self._targets.find(job, tried, progress)
            if target is None:
                if job.required_origin(progress) is not None:
                    reason = NO_TARGET_OF_ORIGIN
                break
            n_before = len(progress.sent_target_ids)
            is_whole = False
            try:
                await self._send_to(job, progress, target)
                is_whole = True
                return
            except TargetFailure as failure:
                reason = failure.outcome.reason
                self._note_failure(job, progress, target, failure.outcome)
                match failure.outcome:
                    case NotRun():
                        tried.add(target.id)
                        del progress.sent_target_ids[n_before:]
                    case MayHaveRun():
                        if not job.may_repeat(progress):
                            break
            finally:
                if place is not None:
                    self._scheduler.report_turn_left(
                        place, progress.turn_result(is_whole)
                    )
        if progress.sent_target_ids:
            raise Refusal(502, reason)
        raise Refusal(503, reason, random.uniform(0.1, 0.4))

    def _note_failure(self, job, progress, target, outcome):
        self._log.info(
            "target_failed",
            request_id=job.req.id,
            target=target.id,
            software_version=target.software_version,
            n_events=progress.n_events,
            verdict=type(outcome).__name__,
            reason=outcome.reason,
        )
        self._health.record_failure(target.id, outcome)
        match outcome:
            case MayHaveRun(broken=True):
                self._strikes.record_broken_request(job.fingerprint, target)
                self._client.check_end(target)
            case NotRun(refused=True):
                self._strikes.record_refused_connection(target.id)

    def _may_still_use(self, job, progress, target) -> bool:
        """Return whether a target that was chosen may get a job.

        While connecting, which may take seconds, its zone may have been emptied, or the
        target may have drained, left, or restarted with other software. Whatever chose
        the target, a stream goes on only at the software that began it.
        """
        current = self._beliefs.targets.get(target.id)
        if current is None or StreamOrigin.of(current) != StreamOrigin.of(target):
            return False
        origin = job.required_origin(progress)
        if origin is not None and not origin.fits(current):
            return False
        return self._beliefs.may_use(current, job.homes)

    async def _may_send(self, job, progress, target, conn) -> bool:
        """Return whether a job may be sent to a target on a new or kept connection.

        Otherwise the connection is released. The target may have restarted with other
        software unheard. Its process registered before the connection was opened, so
        the list of targets has its version if it is complete up to then.
        """
        may_use = False
        origin = job.required_origin(progress)
        try:
            is_known = conn.opened_at <= self._freshness.targets_complete_until
            if not is_known and (origin is not None or job.route.resumable):
                is_known = await self._freshness.confirm_targets()
            may_use = origin is None or is_known
            may_use = may_use and self._may_still_use(job, progress, target)
        finally:
            if not may_use:
                self._client.release(target, conn)
        return may_use

    def _log_resumption(self, job, progress, target):
        """Log and count that a stream goes on, and how its origin is known."""
        origin = job.required_origin(progress)
        if origin is None:
            return
        source = "answer" if progress.origin else job.resumed_origin.source.value
        self._metrics.stream_resumed(source)
        self._log.info(
            "stream_resumed",
            request_id=job.req.id,
            **resumption_fields(job.req),
            n_events=progress.n_events,
            n_turn_events=len(progress.turn_events),
            began_version=origin.software_version,
            source=source,
            target=target.id,
            software_version=target.software_version,
        )

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
            if not await self._may_send(job, progress, target, conn):
                raise TargetFailure(NotRun("no longer takes new work"))
            self._log_resumption(job, progress, target)
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
