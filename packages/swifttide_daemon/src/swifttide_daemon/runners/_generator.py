"""Generates the answer to a prompt on a model engine.

A target is chosen and the call admitted to its queue; the text is then streamed to the
caller. If the target fails, the prompt is sent to another one within the retry budgets
and the deadline of the call. Prompts whose fingerprint is known to crash engines are
refused.
"""

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
from swifttide_daemon.runners._call_context import CallContext
from swifttide_daemon.runners._crash_detector import CrashDetector
from swifttide_daemon.runners._model_loader import ModelLoader
from swifttide_daemon.runners._placement import Demand, Placement, Placer
from swifttide_daemon.runners._prompt import GeneratedAnswer, Prompt
from swifttide_daemon.runners._retry_budgets import RetryBudgets
from swifttide_daemon.strikes import StrikeService
from swifttide_daemon.targets import EngineClient, EngineDone, TargetFailure
from swifttide_daemon.telemetry import Telemetry

log = logging.getLogger(__name__)


class Generator:
    """Runs prompts on engines, with retries on other engines.

    Parameters
    ----------
    placer : Placer
    engines : EngineClient
    retries : RetryBudgets
    strikes : StrikeService
    crash_detector : CrashDetector
    telemetry : Telemetry
    loader : ModelLoader
    estimates : ProfileEstimates
        Expected output tokens, context tokens and program duration by profile.
    """

    def __init__(
        self,
        placer: Placer,
        engines: EngineClient,
        retries: RetryBudgets,
        strikes: StrikeService,
        crash_detector: CrashDetector,
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
        self.crash_detector = crash_detector
        self.telemetry = telemetry

    def generate(
        self,
        context: CallContext,
        prompt: Prompt,
        running: RunningCall,
        traceparent: str,
    ) -> Result[GeneratedAnswer, Refusal]:
        """Run a prompt and append its text to `running` as it arrives.

        Generation has no side effects, so a failed attempt is repeated within the retry
        budgets. `Reset` tells the reader to discard the text of the failed attempt.
        """
        call = context.call
        avoid: frozenset[str] = frozenset()
        n_attempts = 0
        may_have_run = False
        while True:
            strike_refusal = self.strikes.check_request(prompt.fingerprint)
            if strike_refusal is not None:
                return Error(strike_refusal.with_earlier_attempts(may_have_run))
            n_attempts += 1
            ticket_id = f"{call.request_id}-{n_attempts}"
            demand = self._demand(context, prompt)
            placed = self.placer.place(context, demand, ticket_id, avoid)
            if placed.is_error():
                return Error(placed.error.with_earlier_attempts(may_have_run))
            placement = placed.ok
            refusal = context.refusal()
            if refusal is not None:
                self.placer.cancel(placement)
                return Error(refusal.with_earlier_attempts(may_have_run))
            if n_attempts == 1:
                self.retries.record_first_attempt(placement.target.name, call.customer)
            else:
                running.append(Reset())
            try:
                return Ok(
                    self._stream(context, prompt, placement, running, traceparent)
                )
            except TargetFailure as failure:
                decision = self._handle_failure(context, placement, failure, n_attempts)
                may_have_run |= failure.verdict is not Verdict.NOT_RUN
                if isinstance(decision, GiveUp):
                    return Error(
                        _refusal_of(failure).with_earlier_attempts(may_have_run)
                    )
                avoid |= {placement.target.name}
                time.sleep(decision.after_seconds)

    def fingerprint(self, context: CallContext, messages: tuple[Message, ...]) -> str:
        """Return the fingerprint of a prompt.

        It covers the customer, the model and all messages, but no ids: the same request
        under another program id or through another host has the same fingerprint, and
        programs with different histories that send the same short message have
        different ones.
        """
        document = {"messages": [(m.role, m.content) for m in messages]}
        kind = f"{context.call.customer}/{context.profile.model}"
        return fingerprint_of(document, kind)

    def _demand(self, context: CallContext, prompt: Prompt) -> Demand:
        profile = context.profile.name
        estimates = self.estimates
        output = min(estimates.output_tokens(profile), prompt.max_tokens)
        n_tokens = sum(len(m.content.split()) for m in prompt.messages)
        new_tokens = max(0, n_tokens - prompt.history_tokens)
        is_new_program = prompt.attained_cost == 0
        return Demand(
            serves=context.profile.model,
            prompt_tokens=n_tokens,
            expected_tokens=call_cost(new_tokens, output),
            attained_tokens=prompt.attained_cost,
            context_tokens=n_tokens + output if context.call.program else 0.0,
            expected_context_tokens=estimates.context_tokens(profile),
            expected_remaining_seconds=(
                estimates.program_seconds(profile) if is_new_program else 0.0
            ),
            new_history=prompt.new_history,
            prefixes=tuple(
                CachedPrefix(t, prompt.history_tokens) for t in prompt.cache_targets
            ),
        )

    def _stream(
        self,
        context: CallContext,
        prompt: Prompt,
        placement: Placement,
        running: RunningCall,
        traceparent: str,
    ) -> GeneratedAnswer:
        target = placement.target
        incarnation = self.crash_detector.query_incarnation(target)
        self._import_cache(context, prompt, placement)
        running.append(Started(target.name))
        with self.telemetry.span(
            "target",
            traceparent,
            request_id=context.call.request_id,
            target=target.name,
        ) as span:
            try:
                answer = self._read_stream(
                    context, prompt, placement, running, span.traceparent
                )
                span.set(verdict=Verdict.RAN.value)
                return answer
            except TargetFailure as failure:
                span.set(verdict=failure.verdict.value)
                crashed = (
                    failure.connection_broke
                    and self.crash_detector.report_if_crashed(
                        target, prompt.fingerprint, incarnation
                    )
                )
                if not crashed and failure.verdict is not Verdict.NOT_RUN:
                    self.engines.cancel(target, placement.ticket_id)
                raise

    def _import_cache(
        self, context: CallContext, prompt: Prompt, placement: Placement
    ) -> None:
        """Order the engine to import the program's cache, exported during a pause.

        If the import fails, the engine computes the whole prompt again.
        """
        if prompt.exported_cache is None:
            return
        name, _tokens = prompt.exported_cache
        program = context.call.program_path
        self.engines.import_cache(placement.target, program, name, prompt.fencing_token)

    def _read_stream(
        self,
        context: CallContext,
        prompt: Prompt,
        placement: Placement,
        running: RunningCall,
        traceparent: str,
    ) -> GeneratedAnswer:
        target = placement.target
        timer = _TokenTimer()
        pieces: list[str] = []
        events = self.engines.chat(
            target,
            placement.ticket_id,
            _request_body(context, prompt),
            _headers(prompt, traceparent),
            context.deadline,
            context.is_key_valid,
        )
        for event in events:
            if isinstance(event, EngineDone):
                self._record_success(context, prompt, placement, event, timer)
                return GeneratedAnswer(
                    "".join(pieces),
                    event.prompt_tokens,
                    event.completion_tokens,
                    event.cached_tokens,
                    target.name,
                )
            timer.record_token()
            pieces.append(event.text)
            running.append(Content(event.text))
        raise TargetFailure(
            Reason.TARGET_FAILED,
            "stream of the engine ended before the answer was complete",
            Verdict.MAY_HAVE_RUN,
        )

    def _record_success(
        self,
        context: CallContext,
        prompt: Prompt,
        placement: Placement,
        usage: EngineDone,
        timer: "_TokenTimer",
    ) -> None:
        uncached = usage.prompt_tokens - usage.cached_tokens
        outcome = Outcome(
            OutcomeStatus.FINISHED,
            tokens=call_cost(uncached, usage.completion_tokens),
        )
        self.placer.finish(placement, outcome, ok=True)
        profile = context.profile.name
        self.estimates.observe_output(profile, usage.completion_tokens)
        self.strikes.report_success(prompt.fingerprint)
        metrics = self.telemetry.metrics
        if timer.first_at is not None:
            metrics.observe_first_token(timer.first_at - context.started_at)
            metrics.observe_token_gap(timer.longest_gap)
        if placement.target.name in prompt.cache_targets:
            lost = prompt.history_tokens - usage.cached_tokens
            metrics.waste_cache(max(0, lost), "evicted")
        elif prompt.cache_targets:
            metrics.waste_cache(prompt.history_tokens, "moved")

    def _handle_failure(
        self,
        context: CallContext,
        placement: Placement,
        failure: TargetFailure,
        n_attempts: int,
    ) -> Retry | GiveUp:
        sent = failure.verdict is not Verdict.NOT_RUN
        status = OutcomeStatus.FAILED if sent else OutcomeStatus.NOT_SENT
        self.placer.finish(placement, Outcome(status), ok=False)
        self.telemetry.metrics.retry("target")
        if failure.model_not_loaded:
            self.loader.load_in_background(placement.target, context.profile.model)
        log.info(
            "target_failed",
            extra={
                "target": placement.target.name,
                "request_id": context.call.request_id,
                "cause": failure.detail,
            },
        )
        return self.retries.decide(
            failure.verdict,
            repeatable=True,
            n_attempts=n_attempts,
            deadline=context.deadline,
            target=placement.target.name,
            customer=context.call.customer,
        )


class _TokenTimer:
    """Measures time to first token and longest gap of one stream, in seconds."""

    def __init__(self) -> None:
        self.sent_at = time.monotonic()
        self.first_at: float | None = None
        self.last_at = self.sent_at
        self.longest_gap = 0.0

    def record_token(self) -> None:
        now = time.monotonic()
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_gap = max(self.longest_gap, now - self.last_at)
        self.last_at = now


def _request_body(context: CallContext, prompt: Prompt) -> dict[str, object]:
    call = context.call
    return {
        "model": context.profile.model,
        "messages": prompt.messages,
        "max_tokens": prompt.max_tokens,
        "stream": True,
        "program": call.program_path,
    }


def _headers(prompt: Prompt, traceparent: str) -> dict[str, str]:
    headers = {
        "X-Fencing": str(prompt.fencing_token),
        "Content-Type": "application/json",
    }
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
