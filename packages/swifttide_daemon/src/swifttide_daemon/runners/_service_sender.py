"""Sends a service call to one target and reports the outcome to its queue."""

from expression import Error, Ok, Result

from swifttide_core.admission import Outcome, OutcomeStatus
from swifttide_core.verdicts import Refusal, Verdict
from swifttide_daemon.calls import Call, RunningCall, Started
from swifttide_daemon.runners._call_context import CallContext
from swifttide_daemon.runners._placement import Demand, Placement, Placer
from swifttide_daemon.targets import ServiceAnswer, ServiceClient, TargetFailure
from swifttide_daemon.telemetry import Telemetry


class ServiceSender:
    """Gets a call admitted at a target and sends it there once, without retries.

    Parameters
    ----------
    placer : Placer
    services : ServiceClient
    telemetry : Telemetry
    """

    def __init__(
        self, placer: Placer, services: ServiceClient, telemetry: Telemetry
    ) -> None:
        self.placer = placer
        self.services = services
        self.telemetry = telemetry

    def send(
        self,
        context: CallContext,
        running: RunningCall,
        traceparent: str,
        ticket_id: str,
        avoid: frozenset[str],
        reuse_connection: bool,
    ) -> Result[ServiceAnswer, tuple[Refusal, str]]:
        """Send a call once.

        Returns
        -------
        Result
            The answer, or the refusal and the name of the target that failed. The name
            is empty if the call was not sent to any target.
        """
        demand = Demand(serves=context.call.service)
        placed = self.placer.place(context, demand, ticket_id, avoid)
        if placed.is_error():
            return Error((placed.error, ""))
        placement = placed.ok
        # The deadline may have passed, or the key been withdrawn, while queued.
        refusal = context.refusal()
        if refusal is not None:
            self.placer.cancel(placement)
            return Error((refusal, ""))
        running.append(Started(placement.target.name))
        return self._exchange(context, placement, traceparent, reuse_connection)

    def _exchange(
        self,
        context: CallContext,
        placement: Placement,
        traceparent: str,
        reuse_connection: bool,
    ) -> Result[ServiceAnswer, tuple[Refusal, str]]:
        name = placement.target.name
        try:
            answer = self._send_traced(
                context, placement, traceparent, reuse_connection
            )
        except TargetFailure as failure:
            sent = failure.verdict is not Verdict.NOT_RUN
            status = OutcomeStatus.FAILED if sent else OutcomeStatus.NOT_SENT
            self.placer.finish(placement, Outcome(status), ok=False)
            refusal = Refusal(
                failure.reason,
                failure.detail,
                verdict=failure.verdict,
                retry_after_seconds=1.0,
            )
            return Error((refusal, name))
        outcome = Outcome(OutcomeStatus.FINISHED, tokens=1.0)
        self.placer.finish(placement, outcome, ok=answer.status < 500)
        return Ok(answer)

    def _send_traced(
        self,
        context: CallContext,
        placement: Placement,
        traceparent: str,
        reuse_connection: bool,
    ) -> ServiceAnswer:
        call = context.call
        with self.telemetry.span(
            "target",
            traceparent,
            request_id=call.request_id,
            target=placement.target.name,
        ) as span:
            answer = self.services.send(
                placement.target,
                call.path,
                call.body,
                _headers(call, span.traceparent),
                context.remaining,
                reuse_connection,
            )
            span.set(status=answer.status, verdict=Verdict.RAN.value)
            return answer


def _headers(call: Call, traceparent: str) -> dict[str, str]:
    headers = {
        "X-Request-Id": call.request_id,
        "X-Customer": call.customer,
        "Content-Type": call.content_type or "application/json",
    }
    if call.idempotency_key:
        headers["Idempotency-Key"] = call.idempotency_key
    if traceparent:
        headers["traceparent"] = traceparent
    return headers
