"""Runs a chat turn or a service call at the holder of its program.

A call is refused before it starts if its profile is unknown at this host, its API key
is no longer valid, or its time has run out. Otherwise it is passed to the runner of its
kind and traced as one span.
"""

import time

from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.calls import Call, CallKind, Failed, Finished, RunningCall
from swifttide_daemon.configuration import ConfigService
from swifttide_daemon.runners._call_context import CallContext
from swifttide_daemon.runners._chat_runner import ChatRunner
from swifttide_daemon.runners._service_runner import ServiceRunner
from swifttide_daemon.telemetry import Telemetry


class CallRunner:
    """Checks each call and passes it to the runner of its kind.

    Parameters
    ----------
    config : ConfigService
    chats : ChatRunner
    services : ServiceRunner
    telemetry : Telemetry
    """

    def __init__(
        self,
        config: ConfigService,
        chats: ChatRunner,
        services: ServiceRunner,
        telemetry: Telemetry,
    ) -> None:
        self.config = config
        self.chat_runner = chats
        self.service_runner = services
        self.telemetry = telemetry

    def run(self, call: Call, running: RunningCall, traceparent: str = "") -> None:
        """Run a call and append its events; the last one is `Finished` or `Failed`."""
        profile = self.config.profile(call.profile)
        if profile is None:
            running.append(Failed(_profile_not_found(call.profile)))
            return
        context = CallContext(call, profile, self.config, time.monotonic())
        refusal = context.refusal()
        if refusal is not None:
            running.append(Failed(refusal))
            return
        with self.telemetry.span(
            "slot_holder",
            traceparent,
            request_id=call.request_id,
            customer=call.customer,
            program=call.program,
        ) as span:
            match call.kind:
                case CallKind.CHAT:
                    self.chat_runner.run(context, running, span.traceparent)
                case CallKind.SERVICE:
                    self.service_runner.run(context, running, span.traceparent)
            span.set(verdict=_verdict(running))


def _verdict(running: RunningCall) -> str | None:
    match running.last_event():
        case Finished():
            return Verdict.RAN.value
        case Failed(refusal):
            return refusal.verdict.value
        case _:
            return None


def _profile_not_found(name: str) -> Refusal:
    return Refusal(Reason.NOT_FOUND, f"profile {name!r} is not known at this host yet")
