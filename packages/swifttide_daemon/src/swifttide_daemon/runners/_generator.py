"""Gets a whole answer from an engine, and from another if one fails."""

import logging
import time

from expression import Error, Ok, Result

from swifttide_core.admission import Outcome, OutcomeStatus, ProfileEstimates, call_cost
from swifttide_core.retries import GiveUp, Retry
from swifttide_core.routing import CachedPrefix
from swifttide_core.strikes import fingerprint_of
from swifttide_core.verdicts import Reason, Refusal, Verdict
from swifttide_daemon.calls import Content, Reset, RunningCall, Started
from swifttide_daemon.programs import Message
from swifttide_daemon.runners._crash_detector import CrashDetector
from swifttide_daemon.runners._model_loader import ModelLoader
from swifttide_daemon.runners._permit import Permit
from swifttide_daemon.runners._placement import Demand, Placement, Placer
from swifttide_daemon.runners._prompt import Generated, Prompt
from swifttide_daemon.runners._retry_account import RetryAccount
from swifttide_daemon.strikes import StrikeService
from swifttide_daemon.targets import EngineClient, EngineDone, TargetFailure
from swifttide_daemon.telemetry import Telemetry

log = logging.getLogger(__name__)


class Generator:
    """Turns a prompt into text.

    Parameters
    ----------
    placer : Placer
    engines : EngineClient
    retries : RetryAccount
    strikes : StrikeService
    crashes : CrashDetector
    telemetry : Telemetry
    loader : ModelLoader
    estimates : ProfileEstimates
        What programs of each profile usually need.
    """

    def __init__(
        self,
        placer: Placer,
        engines: EngineClient,
        retries: RetryAccount,
        strikes: StrikeService,
        crashes: CrashDetector,
        telemetry: Telemetry,
        loader: ModelLoader,
        estimates: ProfileEstimates,
    ) -> None:
        self.loader = loader
        self.estimates = estimates
        self.placer = placer
        self.engines = engines
        self.retries = retries
        self.strikes = strikes
        self.crashes = crashes
        self.telemetry = telemetry

    def generate(
        self, permit: Permit, prompt: Prompt, running: RunningCall, traceparent: str
    ) -> Result[Generated, Refusal]:
        """Run a prompt, passing its text on as it comes.

        Generating has no effect but the text, so a failed try is repeated within the
        retry budgets.
        """
        call = permit.call
        avoid: frozenset[str] = frozenset()
        n_tries = 0
        may_have_run = False
        while True:
            put_aside = self.strikes.check_request(prompt.fingerprint)
            if put_aside is not None:
                return Error(put_aside.with_earlier_attempts(may_have_run))
            n_tries += 1
            ticket_id = f"{call.request_id}-{n_tries}"
            demand = self._demand(permit, prompt)
            placed = self.placer.place(permit, demand, ticket_id, avoid)
            if placed.is_error():
                return Error(placed.error.with_earlier_attempts(may_have_run))
            placement = placed.ok
            refusal = permit.refusal()
            if refusal is not None:
                self.placer.drop(placement)
                return Error(refusal.with_earlier_attempts(may_have_run))
            if n_tries == 1:
                self.retries.first_try(placement.target.name, call.customer)
            else:
                running.append(Reset())
            try:
                return Ok(self._stream(permit, prompt, placement, running, traceparent))
            except TargetFailure as failure:
                decision = self._failed(permit, placement, failure, n_tries)
                may_have_run |= failure.verdict is not Verdict.NOT_RUN
                if isinstance(decision, GiveUp):
                    return Error(
                        _refusal_of(failure).with_earlier_attempts(may_have_run)
                    )
                avoid |= {placement.target.name}
                time.sleep(decision.after_seconds)

    def fingerprint(self, permit: Permit, messages: tuple[Message, ...]) -> str:
        """Return the fingerprint of a prompt.

        The whole prompt, without ids: the same request under another program id or
        through another host has the same fingerprint, and a short message that many
        programs send doesn't share one.
        """
        document = {"messages": [(m.role, m.content) for m in messages]}
        kind = f"{permit.call.customer}/{permit.profile.model}"
        return fingerprint_of(document, kind)

    def _demand(self, permit: Permit, prompt: Prompt) -> Demand:
        profile = permit.profile.name
        estimates = self.estimates
        output = min(estimates.output_tokens(profile), prompt.max_tokens)
        n_tokens = sum(len(m.content.split()) for m in prompt.messages)
        fresh = max(0, n_tokens - prompt.former_tokens)
        starts = prompt.attained_cost == 0
        return Demand(
            serves=permit.profile.model,
            prompt_tokens=n_tokens,
            expected_tokens=call_cost(fresh, output),
            attained_tokens=prompt.attained_cost,
            context_tokens=n_tokens + output if permit.call.program else 0.0,
            expected_context_tokens=estimates.context_tokens(profile),
            expected_remaining_seconds=(
                estimates.program_seconds(profile) if starts else 0.0
            ),
            new_history=prompt.new_history,
            prefixes=tuple(
                CachedPrefix(t, prompt.former_tokens) for t in prompt.targets
            ),
        )

    def _stream(
        self,
        permit: Permit,
        prompt: Prompt,
        placement: Placement,
        running: RunningCall,
        traceparent: str,
    ) -> Generated:
        target = placement.target
        incarnation = self.crashes.incarnation(target)
        self._import_cache(permit, prompt, placement)
        running.append(Started(target.name))
        with self.telemetry.span(
            "target",
            traceparent,
            request_id=permit.call.request_id,
            target=target.name,
        ) as span:
            try:
                made = self._read(permit, prompt, placement, running, span.traceparent)
                span.set(verdict=Verdict.RAN.value)
                return made
            except TargetFailure as failure:
                span.set(verdict=failure.verdict.value)
                died = failure.broke and self.crashes.broke(
                    target, prompt.fingerprint, incarnation
                )
                if not died and failure.verdict is not Verdict.NOT_RUN:
                    self.engines.cancel(target, placement.ticket_id)
                raise

    def _import_cache(
        self, permit: Permit, prompt: Prompt, placement: Placement
    ) -> None:
        """Give the engine a cache that was exported during a pause.

        If it fails the engine computes the prompt anew.
        """
        if prompt.exported is None:
            return
        name, _tokens = prompt.exported
        program = permit.call.program_path
        self.engines.fetch(placement.target, program, name, prompt.fencing)

    def _read(
        self,
        permit: Permit,
        prompt: Prompt,
        placement: Placement,
        running: RunningCall,
        traceparent: str,
    ) -> Generated:
        target = placement.target
        clock = _TokenClock()
        pieces: list[str] = []
        events = self.engines.chat(
            target,
            placement.ticket_id,
            _message(permit, prompt),
            _headers(prompt, traceparent),
            permit.deadline,
            permit.key_stands,
        )
        for event in events:
            if isinstance(event, EngineDone):
                self._finish(permit, prompt, placement, event, clock)
                return Generated(
                    "".join(pieces),
                    event.prompt_tokens,
                    event.completion_tokens,
                    event.cached_tokens,
                    target.name,
                )
            clock.tick()
            pieces.append(event.text)
            running.append(Content(event.text))
        raise TargetFailure(
            Reason.TARGET_FAILED, "the stream ended early", Verdict.MAY_HAVE_RUN
        )

    def _finish(
        self,
        permit: Permit,
        prompt: Prompt,
        placement: Placement,
        usage: EngineDone,
        clock: "_TokenClock",
    ) -> None:
        uncached = usage.prompt_tokens - usage.cached_tokens
        outcome = Outcome(
            OutcomeStatus.FINISHED,
            tokens=call_cost(uncached, usage.completion_tokens),
        )
        self.placer.finish(placement, outcome, ok=True)
        profile = permit.profile.name
        self.estimates.observe_output(profile, usage.completion_tokens)
        self.strikes.report_success(prompt.fingerprint)
        metrics = self.telemetry.metrics
        if clock.first_at is not None:
            metrics.observe_first_token(clock.first_at - permit.started_at)
            metrics.observe_token_gap(clock.longest_gap)
        if placement.target.name in prompt.targets:
            lost = prompt.former_tokens - usage.cached_tokens
            metrics.waste_cache(max(0, lost), "evicted")
        elif prompt.targets:
            metrics.waste_cache(prompt.former_tokens, "moved")

    def _failed(
        self, permit: Permit, placement: Placement, failure: TargetFailure, tries: int
    ) -> Retry | GiveUp:
        sent = failure.verdict is not Verdict.NOT_RUN
        status = OutcomeStatus.FAILED if sent else OutcomeStatus.NOT_SENT
        self.placer.finish(placement, Outcome(status), ok=False)
        self.telemetry.metrics.retry("target")
        if failure.not_loaded:
            self.loader.want(placement.target, permit.profile.model)
        log.info(
            "target_failed",
            extra={
                "target": placement.target.name,
                "request_id": permit.call.request_id,
                "cause": failure.detail,
            },
        )
        return self.retries.decide(
            failure.verdict,
            repeatable=True,
            n_tries=tries,
            deadline=permit.deadline,
            target=placement.target.name,
            customer=permit.call.customer,
        )


class _TokenClock:
    """When the tokens of one stream came."""

    def __init__(self) -> None:
        self.sent_at = time.monotonic()
        self.first_at: float | None = None
        self.last_at = self.sent_at
        self.longest_gap = 0.0

    def tick(self) -> None:
        now = time.monotonic()
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_at)
        self.last_at = now


def _message(permit: Permit, prompt: Prompt) -> dict[str, object]:
    call = permit.call
    return {
        "model": permit.profile.model,
        "messages": prompt.messages,
        "max_tokens": prompt.max_tokens,
        "stream": True,
        "program": call.program_path,
    }


def _headers(prompt: Prompt, traceparent: str) -> dict[str, str]:
    headers = {"X-Fencing": str(prompt.fencing), "Content-Type": "application/json"}
    if traceparent:
        headers["traceparent"] = traceparent
    return headers


def _refusal_of(failure: TargetFailure) -> Refusal:
    return Refusal(
        failure.reason,
        failure.detail,
        verdict=failure.verdict,
        retry_after_seconds=1.0,
    )
