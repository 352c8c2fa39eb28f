"""Relays a target's response to its caller.

A stream is relayed event by event. When it is resumed at another target, events that
the caller already has are skipped, and a gap in the event ids fails the attempt. The
transcript of a turn is stored before its stream ends.
"""

import asyncio
import functools
from collections.abc import Callable

from swifttide_core.forwarding import RequestKind
from swifttide_core.resumption import StreamOrigin, TurnEvent
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.callers._dialect import Dialect
from swifttide_daemon.gateway.callers._event_reader import EventReader
from swifttide_daemon.gateway.callers._job import (
    request_age_seconds,
    resumption_fields,
    work_fields,
)
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.http._bounded_reading import EventPace
from swifttide_daemon.gateway.streams._request_key import request_key
from swifttide_daemon.gateway.streams._stream_origins import StreamOrigins
from swifttide_daemon.gateway.streams._turn_events import TurnEvents
from swifttide_daemon.gateway.targets._target_answer import MayHaveRun, TargetFailure
from swifttide_daemon.gateway.targets._target_client import (
    NOT_RUN_STATUSES,
    TargetExchange,
)
from swifttide_daemon.gateway.turns._turn_keeper import (
    MAX_TRANSCRIPT_BYTES,
    TurnKeeper,
)
from swifttide_daemon.telemetry import EventLog

MAX_TURN_STORE_SECONDS = 1.8
"""Longest time that the end of a stream is held back until its turn is stored. Callers
disconnect after two seconds without an event, and then send the turn again."""

TURN_STORE_RETRY_SECONDS = 0.2
"""Pause between attempts to store a turn while the store is unreachable."""


class AnswerRelay:
    """Relays targets' responses to callers, event by event where they are streams.

    Parameters
    ----------
    dialect : Dialect
        Header fields of responses.
    turns : TurnKeeper
        Stores the transcripts of turns.
    origins : StreamOrigins
        Remembers at which software streams began.
    turn_events : TurnEvents
        Remembers what turns have generated that may be resumed.
    failover_delay_seconds : callable
        While this host is cut off from the store and the other zones, returns the
        seconds until callers are routed to another host; otherwise returns None.
    beliefs : Beliefs
        Provides the version of the configuration for the log.
    metrics : GatewayMetrics
    log : EventLog
    """

    def __init__(
        self,
        dialect: Dialect,
        turns: TurnKeeper,
        origins: StreamOrigins,
        turn_events: TurnEvents,
        failover_delay_seconds: Callable[[], float | None],
        beliefs: Beliefs,
        metrics: GatewayMetrics,
        log: EventLog,
    ):
        self._dialect = dialect
        self._turns = turns
        self._origins = origins
        self._turn_events = turn_events
        self._failover_delay_seconds = failover_delay_seconds
        self._beliefs = beliefs
        self._metrics = metrics
        self._log = log

    async def relay(self, job, progress, exchange: TargetExchange):
        """Relay one response to its end.

        Parameters
        ----------
        job : Job
        progress : Progress
            Updated with each event.
        exchange : TargetExchange
            Request to the target whose response head has been read.

        Raises
        ------
        TargetFailure
            The target's response can't be used; another attempt may follow.
        Refusal
            The request has failed for good.
        """
        head = exchange.head
        is_stream = job.route.kind is RequestKind.STREAMING and head.status == 200
        if is_stream:
            await self._relay_events(job, progress, exchange)
            return
        if progress.n_events or job.channel.started:
            exchange.cancel()
            raise TargetFailure(MayHaveRun(f"answered {head.status} to a resumption"))
        try:
            await self._relay_whole(job, progress, exchange)
        finally:
            await job.channel.hold_collected(0)

    async def _relay_whole(self, job, progress, exchange):
        head = exchange.head
        if head.status in NOT_RUN_STATUSES:
            # These statuses mean "not run" only with the header field that says so;
            # without it the target may have run the request.
            await exchange.discard()
            raise TargetFailure(MayHaveRun(f"answered {head.status}"))
        body = await exchange.read_body(job.channel.hold_collected)
        progress.first_seconds = request_age_seconds(job.req)
        await job.channel.hold_collected(0)
        await job.channel.answer(head.status, self._dialect.answer_fields(head), body)
        self._log_served(job, progress, exchange.target, head.status)

    async def _relay_events(self, job, progress, exchange):
        head = exchange.head
        if not job.channel.started:
            fields = self._dialect.answer_fields(head)
            await job.channel.start(head.status, fields, None)
        reader = EventReader()
        pace = EventPace()
        resumes = progress.last_event_id is not None
        while (piece := await exchange.read_piece()) is not None:
            for event in self._parse_events(reader, piece, exchange):
                await pace.step()
                if resumes:
                    _check_resume_position(progress, event)
                await self._relay_event(job, progress, exchange.target, event)
        if reader.within_event:
            raise TargetFailure(MayHaveRun("ended within an event"))
        await self._store_turn(job, progress)
        await job.channel.finish()
        self._log_served(job, progress, exchange.target, head.status)

    def _parse_events(self, reader, piece, exchange):
        try:
            return reader.feed(piece)
        except ValueError as exc:
            exchange.cancel()
            raise TargetFailure(MayHaveRun(str(exc))) from exc

    async def _relay_event(self, job, progress, target, event):
        if (
            event.id is not None
            and progress.last_event_id is not None
            and event.id <= progress.last_event_id
        ):
            # Relayed before the stream was resumed.
            return
        progress.note_event_id(event.id)
        self._check_token_limit(job, progress)
        progress.n_events += 1
        progress.last_seconds = request_age_seconds(job.req)
        if progress.n_events == 1:
            progress.first_seconds = progress.last_seconds
            progress.origin = StreamOrigin.of(target)
            self._record_origin(job, progress.origin)
            self._log_begun(job, target)
        if job.route.keeps_turns:
            self._record_turn_event(job, progress, event)
        await job.channel.write(event.raw)

    def _record_turn_event(self, job, progress, event):
        """Make an event of a turn known before its caller has it."""
        data = event.data if event.has_data else None
        progress.add_turn_event(TurnEvent(event.id, data))
        if len(job.body) + progress.n_output_bytes > MAX_TRANSCRIPT_BYTES:
            # It couldn't be stored at its end, which may never come.
            raise Refusal(502, "turn_too_long")
        if not job.route.resumable:
            return
        # Keepers may have lost what an earlier attempt told them.
        n_before = len(progress.turn_events) - 1 if progress.n_events > 1 else 0
        events = progress.turn_events[n_before:]
        self._turn_events.record(
            job.customer, job.req, n_before, events, job.route, job.homes
        )

    def _check_token_limit(self, job, progress):
        """Fail a turn that would exceed its reserved tokens.

        While the store is unreachable, fewer tokens are reserved for a turn than it
        may generate.
        """
        reserved = job.reservation
        if reserved is None or not reserved.is_partial:
            return
        if (progress.n_events + 1) * job.service.tokens_per_event > reserved.tokens:
            raise Refusal(502, "tokens_used_up_in_outage")

    async def _store_turn(self, job, progress):
        """Store the turn's transcript before the end of its stream is sent.

        Once the stream has ended, the caller may continue from this turn at any host.
        If the turn were stored later, it might be unknown there, or lost with this
        host.
        """
        if not job.route.keeps_turns:
            return
        transcript = job.body + progress.turn_output
        loop = asyncio.get_running_loop()
        until = loop.time() + MAX_TURN_STORE_SECONDS
        keep = functools.partial(
            self._turns.save,
            job.customer,
            job.req.id,
            transcript,
            job.route.keep_seconds,
            job.homes,
        )
        while not await keep():
            if self._failover_delay_seconds() is not None or loop.time() > until:
                raise Refusal(502, "turn_not_stored")
            await asyncio.sleep(TURN_STORE_RETRY_SECONDS)

    def _record_origin(self, job, origin):
        """Make the origin of a stream known before its caller has the first event."""
        if job.route.resumable:
            attempt = job.req.resumed_attempt or job.req.id
            request = request_key(job.customer, job.req)
            self._origins.record(
                job.customer, attempt, origin, job.route, job.homes, request
            )

    def _log_begun(self, job, target):
        """Log the target of the first event.

        If this host is lost, no later line tells which software began the stream.
        """
        self._log.info(
            "stream_begun",
            request_id=job.req.id,
            **resumption_fields(job.req),
            target=target.id,
            software_version=target.software_version,
        )

    def _log_served(self, job, progress, target, status):
        self._metrics.answered(status, "served")
        self._metrics.hop("rate", progress.rate_seconds)
        self._metrics.hop("admission", progress.sent_seconds - progress.rate_seconds)
        self._metrics.hop("target", progress.first_seconds - progress.sent_seconds)
        self._metrics.hop("whole", request_age_seconds(job.req))
        self._log.info(
            "request_served",
            request_id=job.req.id,
            program=job.req.turn.program,
            **work_fields(job.work),
            **resumption_fields(job.req),
            target=target.id,
            software_version=target.software_version,
            target_load=round(progress.target_load, 2),
            first_turn=job.req.turn.is_first,
            status=status,
            n_events=progress.n_events,
            n_sent=len(progress.sent_target_ids),
            rate_seconds=round(progress.rate_seconds, 4),
            queued_seconds=round(progress.queued_seconds, 4),
            sent_seconds=round(progress.sent_seconds, 4),
            first_seconds=round(progress.first_seconds, 4),
            seconds=round(request_age_seconds(job.req), 4),
            config_version=self._beliefs.config.version,
        )


def _check_resume_position(progress, event):
    """Fail a resumed stream whose next event id leaves a gap.

    A target that resumes too late in the stream would omit events, and the caller
    couldn't tell: the response would end as if it were complete. The check applies
    only to streams whose ids have been consecutive so far.
    """
    if event.id is None or progress.last_event_id is None:
        return
    if progress.event_ids_consecutive and event.id > progress.last_event_id + 1:
        raise TargetFailure(MayHaveRun("a stream that goes on beyond its place"))
