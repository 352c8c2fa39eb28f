"""HTTP handlers for chat turns and service calls at their entry host.

A handler authenticates the request, checks its headers, profile, body and rate limit,
and forwards the call to the holder of its program through the dispatcher.
"""

import time
from collections.abc import Iterator
from dataclasses import dataclass, replace

from expression import Error, Ok, Result

from swifttide_core.documents import Customer, Profile
from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.calls import Call, CallEvent, CallKind, Failed, Finished
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.entry._authenticator import Authenticator, Identity
from swifttide_daemon.entry._call_headers import CallHeaders
from swifttide_daemon.entry._chat_answer import (
    REQUEST_ID_HEADER,
    completion_response,
    streaming_response,
)
from swifttide_daemon.entry._dispatcher import Dispatcher
from swifttide_daemon.entry._gate import Gate
from swifttide_daemon.entry._input_checks import (
    check_key_not_repeated,
    check_service_path,
)
from swifttide_daemon.entry._program_roots import ProgramRoots
from swifttide_daemon.limits import RateLimiter
from swifttide_daemon.runners import ChatBody, must_not_repeat
from swifttide_daemon.store import new_id
from swifttide_daemon.telemetry import Telemetry
from swifttide_daemon.web import Request, Response


@dataclass(frozen=True, slots=True)
class AdmittedCall:
    """A call that passed the checks of key, headers, profile and customer."""

    call: Call
    profile: Profile
    customer: Customer


class CallHandlers:
    """Handlers of chat turns and service calls.

    Parameters
    ----------
    gate : Gate
    authenticator : Authenticator
    config : ConfigService
    limiter : RateLimiter
    roots : ProgramRoots
    dispatcher : Dispatcher
    telemetry : Telemetry
    """

    def __init__(
        self,
        gate: Gate,
        authenticator: Authenticator,
        config: ConfigService,
        limiter: RateLimiter,
        roots: ProgramRoots,
        dispatcher: Dispatcher,
        telemetry: Telemetry,
    ) -> None:
        self.gate = gate
        self.authenticator = authenticator
        self.config = config
        self.limiter = limiter
        self.roots = roots
        self.dispatcher = dispatcher
        self.telemetry = telemetry

    def chat(self, req: Request) -> Response:
        """Answer ``POST /v1/chat/completions``."""
        return self._track_request(lambda: self._chat(req))

    def service(self, req: Request, service: str, path: str) -> Response:
        """Answer ``POST /v1/services/{service}/{path}``."""
        return self._track_request(lambda: self._service(req, service, path))

    def _track_request(self, handler) -> Response:
        """Run a handler and count its request as in flight until the answer ends."""
        refusal = self.gate.enter()
        if refusal is not None:
            response = Response.from_refusal(refusal)
            # Closing the connection keeps the load balancer from sending further
            # requests on it.
            headers = (*response.headers, ("Connection", "close"))
            return replace(response, headers=headers)
        try:
            response = handler()
        except BaseException:
            self.gate.leave()
            raise
        if isinstance(response.body, bytes):
            self.gate.leave()
            return response
        return replace(response, body=self.gate.track_body(response.body))

    def _chat(self, req: Request) -> Response:
        admitted = self._admit(req, CallKind.CHAT)
        if admitted.is_error():
            return self._refusal_response("", admitted.error)
        body = ChatBody.from_bytes(req.body)
        if body.is_error():
            return self._refusal_response(admitted.ok.call.customer, body.error)
        admission = self.limiter.admit(admitted.ok.customer)
        if admission is not None:
            return self._refusal_response(admitted.ok.call.customer, admission)
        call = admitted.ok.call
        events = self._events(call, req)
        if body.ok.stream:
            return streaming_response(call, events)
        return completion_response(call, events)

    def _service(self, req: Request, service: str, path: str) -> Response:
        admitted = self._admit(req, CallKind.SERVICE)
        if admitted.is_error():
            return self._refusal_response("", admitted.error)
        profile = admitted.ok.profile
        call = replace(
            admitted.ok.call,
            service=service,
            path=path,
            content_type=req.header("content-type"),
        )
        refusal = check_service_path(req, service, path)
        refusal = refusal or _check_service_call(profile, call)
        refusal = refusal or self.limiter.admit(admitted.ok.customer)
        if refusal is not None:
            return self._refusal_response(call.customer, refusal)
        for event in self._events(call, req):
            match event:
                case Finished():
                    headers = (
                        ("Content-Type", event.content_type),
                        (REQUEST_ID_HEADER, call.request_id),
                    )
                    return Response.ran(event.status, event.body, headers)
                case Failed(refusal):
                    return Response.from_refusal(refusal, request_id=call.request_id)
        return Response.from_refusal(
            Refusal(
                Reason.INTERNAL,
                "the answer ended before it was complete",
                Verdict.MAY_HAVE_RUN,
            )
        )

    def _admit(self, req: Request, kind: CallKind) -> Result[AdmittedCall, Refusal]:
        identity = self.authenticator.customer(req)
        if identity.is_error():
            return identity
        key_refusal = check_key_not_repeated(req)
        if key_refusal is not None:
            return Error(key_refusal)
        headers = CallHeaders.from_request(req)
        if headers.is_error():
            return headers
        profile = self.config.profile(headers.ok.profile)
        if profile is None:
            return Error(
                Refusal(Reason.NOT_FOUND, f"unknown profile {headers.ok.profile!r}")
            )
        customer = identity.ok.customer
        if profile.customers and customer not in profile.customers:
            return Error(
                Refusal(Reason.FORBIDDEN, "this customer may not use the profile")
            )
        document = self.config.customer(customer)
        if document is None:
            return Error(Refusal(Reason.FORBIDDEN, f"unknown customer {customer!r}"))
        return self._make_call(req, kind, identity.ok, headers.ok, profile).map(
            lambda call: AdmittedCall(call, profile, document)
        )

    def _make_call(
        self,
        req: Request,
        kind: CallKind,
        identity: Identity,
        headers: CallHeaders,
        profile: Profile,
    ) -> Result[Call, Refusal]:
        root = self.roots.root(identity.customer, headers.program, headers.parent)
        if root.is_error():
            return root
        call = Call(
            request_id=new_id(),
            kind=kind,
            customer=identity.customer,
            key_hash=identity.key_hash,
            profile=profile.name,
            program=headers.program,
            root=root.ok,
            parent=headers.parent,
            turn=headers.turn,
            idempotency_key=headers.idempotency_key,
            body=req.body,
            remaining_seconds=profile.turn_timeout_seconds,
        )
        return Ok(call)

    def _events(self, call: Call, req: Request) -> Iterator[CallEvent]:
        """Yield the events of a call, and end them if the caller's key is withdrawn."""
        with self.telemetry.span(
            "entry",
            req.header("traceparent"),
            request_id=call.request_id,
            customer=call.customer,
            program=call.program,
            turn=call.turn,
        ) as span:
            for event in self.dispatcher.follow(call, span.traceparent):
                grant = self.config.key(call.key_hash)
                if grant is None and not isinstance(event, Finished):
                    # The connection was opened before the key was withdrawn. The
                    # rest of the answer must not be sent on it.
                    yield Failed(_withdrawn_key_refusal())
                    return
                if isinstance(event, Failed):
                    self._record_refusal(call, event.refusal)
                    span.set(verdict=event.refusal.verdict.value)
                elif isinstance(event, Finished):
                    span.set(verdict=Verdict.RAN.value)
                    self.telemetry.log.debug(
                        "request_ran",
                        request_id=call.request_id,
                        customer=call.customer,
                        program=call.program,
                        turn=call.turn,
                        seconds=round(time.monotonic() - req.arrived_at, 4),
                    )
                yield event

    def _refusal_response(self, customer: str, refusal: Refusal) -> Response:
        within_rate = refusal.reason not in (
            Reason.RATE_LIMITED,
            Reason.UNAUTHENTICATED,
            Reason.BAD_REQUEST,
        )
        self.telemetry.metrics.refuse(
            customer, refusal.reason, refusal.verdict, within_rate=within_rate
        )
        return Response.from_refusal(refusal)

    def _record_refusal(self, call: Call, refusal: Refusal) -> None:
        self.telemetry.metrics.refuse(
            call.customer, refusal.reason, refusal.verdict, within_rate=True
        )
        self.telemetry.log.info(
            "request_refused",
            request_id=call.request_id,
            customer=call.customer,
            program=call.program,
            turn=call.turn,
            reason=refusal.reason.value,
            verdict=refusal.verdict.value,
        )


def _check_service_call(profile: Profile, call: Call) -> Refusal | None:
    if profile.services and call.service not in profile.services:
        return Refusal(
            Reason.FORBIDDEN, f"the profile doesn't allow service {call.service!r}"
        )
    if must_not_repeat(profile, call) and not call.idempotency_key:
        # Without an idempotency key, a retry of a call can't be distinguished from a
        # second, intended call.
        return Refusal(
            Reason.BAD_REQUEST,
            "expected an Idempotency-Key, as this call must run at most once",
        )
    return None


def _withdrawn_key_refusal() -> Refusal:
    return Refusal(
        Reason.UNAUTHENTICATED,
        "the key was withdrawn while the call was running",
        verdict=Verdict.MAY_HAVE_RUN,
    )
