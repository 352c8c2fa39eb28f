"""Chooses a target for a call and gets the call admitted to the target's queue.

Inputs are the demand of the call, the views of the targets (load, circuit breaker,
cached prefixes) and the answer of the host that keeps the target's queue. If a target
refuses and another one may take the call, the next choice is asked, up to
`MAX_TARGETS_TRIED` targets.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from swifttide_core.admission import Outcome, OutcomeStatus
from swifttide_core.documents import Target
from swifttide_core.retries import Blocked, BreakerPermit
from swifttide_core.routing import CachedPrefix, NoTarget, RouteRequest
from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.runners._call_context import CallContext
from swifttide_daemon.targets import (
    MAX_POLL_SECONDS,
    AcquireRequest,
    GrantClient,
    TargetSelector,
)

MAX_TARGETS_TRIED = 8


@dataclass(frozen=True, slots=True)
class Demand:
    """Requirements and expected cost of a call.

    Parameters
    ----------
    serves : str
        Name of the model or service that the target must serve.
    prompt_tokens : int
    expected_tokens : float
        Expected cost of the call, in tokens that the target computes.
    attained_tokens : float
        Cost served to the program so far, in the same unit.
    context_tokens : float
        Tokens of the history after the call.
    expected_context_tokens : float
        Tokens that the history is expected to reach.
    expected_remaining_seconds : float
        Seconds until the expected end of the program; 0 when unknown.
    new_history : bool
        Whether this is the first call of a sub-agent, which has no cached history.
    prefixes : tuple of CachedPrefix
        Targets that may hold cached history of the program.
    """

    serves: str
    prompt_tokens: int = 0
    expected_tokens: float = 1.0
    attained_tokens: float = 0.0
    context_tokens: float = 0.0
    expected_context_tokens: float = 0.0
    expected_remaining_seconds: float = 0.0
    new_history: bool = False
    prefixes: tuple[CachedPrefix, ...] = ()


@dataclass(frozen=True, slots=True)
class Placement:
    """An admitted call; ended by exactly one of `Placer.finish` and `Placer.cancel`."""

    target: Target
    ticket_id: str
    breaker_permit: BreakerPermit
    admitted_at: float


class Placer:
    """Chooses targets for calls and acquires admission to their queues.

    Parameters
    ----------
    selector : TargetSelector
    grants : GrantClient
    zone : str
        Zone of this host.
    on_admit : callable
        Called with the customer, the target and the time in the queue in seconds.
    """

    def __init__(
        self,
        selector: TargetSelector,
        grants: GrantClient,
        zone: str,
        on_admit: Callable[[str, str, float], None],
    ) -> None:
        self.selector = selector
        self.grants = grants
        self.zone = zone
        self.on_admit = on_admit

    def place(
        self,
        context: CallContext,
        demand: Demand,
        ticket_id: str,
        avoid: frozenset[str],
    ) -> Result[Placement, Refusal]:
        """Wait until a target admits the call, or return a refusal.

        A refusal that other targets would repeat is returned at once.

        Parameters
        ----------
        context : CallContext
        demand : Demand
        ticket_id : str
            Unique for each attempt of the call.
        avoid : frozenset of str
            Targets that failed this call in earlier attempts.
        """
        refusal: Refusal | None = None
        for _ in range(MAX_TARGETS_TRIED):
            choice = self.selector.choose(self._route_request(demand, avoid))
            if isinstance(choice, NoTarget):
                return Error(refusal or choice.refusal)
            target = self.selector.target(choice.target)
            breaker_permit = self.selector.acquire_breaker_permit(choice.target)
            if target is None or isinstance(breaker_permit, Blocked):
                self.selector.count_finished(choice.target)
                avoid |= {choice.target}
                continue
            asked = self._acquire(context, demand, target, ticket_id)
            if asked.is_ok():
                return Ok(
                    Placement(target, ticket_id, breaker_permit, time.monotonic())
                )
            self.selector.withdraw_permit(target.name, breaker_permit)
            self.selector.count_finished(target.name)
            refusal, elsewhere = asked.error
            if not elsewhere:
                return Error(refusal)
            avoid |= {target.name}
        return Error(
            refusal or Refusal(Reason.NO_TARGET, "no target admitted the call")
        )

    def finish(self, placement: Placement, outcome: Outcome, ok: bool) -> None:
        """Record the outcome of a call that was sent, and release its admission."""
        self.selector.report_result(placement.target.name, placement.breaker_permit, ok)
        self._release(placement, outcome)

    def cancel(self, placement: Placement) -> None:
        """Release the admission of a call that was not sent."""
        self.selector.withdraw_permit(placement.target.name, placement.breaker_permit)
        self._release(placement, Outcome(OutcomeStatus.NOT_SENT))

    def _release(self, placement: Placement, outcome: Outcome) -> None:
        name = placement.target.name
        self.selector.count_finished(name)
        self.grants.release(
            placement.target,
            placement.ticket_id,
            outcome,
            lambda answer: self.selector.update_queue_state(name, answer.snapshot),
        )

    def _acquire(
        self, context: CallContext, demand: Demand, target: Target, ticket_id: str
    ) -> Result[None, tuple[Refusal, bool]]:
        call = context.call
        profile = context.profile
        asked_at = time.monotonic()
        req = AcquireRequest(
            ticket_id=ticket_id,
            customer=call.customer,
            program=call.program_path or call.request_id,
            weight=profile.weight,
            urgency=profile.urgency,
            deadline_in_seconds=min(profile.deadline_seconds, context.remaining),
            expected_tokens=demand.expected_tokens,
            attained_tokens=demand.attained_tokens,
            context_tokens=demand.context_tokens,
            expected_context_tokens=demand.expected_context_tokens,
            expected_remaining_seconds=demand.expected_remaining_seconds,
            new_history=demand.new_history,
            waited_seconds=asked_at - context.started_at,
            wait_seconds=MAX_POLL_SECONDS,
        )
        answer = self.grants.wait(target, req, context.deadline)
        if answer.is_error():
            return Error((answer.error, True))
        self.selector.update_queue_state(target.name, answer.ok.snapshot)
        if not answer.ok.admitted:
            return Error((answer.ok.refusal, answer.ok.try_elsewhere))
        waited = time.monotonic() - asked_at
        self.on_admit(call.customer, target.name, waited)
        return Ok(None)

    def _route_request(self, demand: Demand, avoid: frozenset[str]) -> RouteRequest:
        return RouteRequest(
            serves=demand.serves,
            zone=self.zone,
            prompt_tokens=demand.prompt_tokens,
            prefixes=demand.prefixes,
            avoid=avoid,
            new_program=demand.context_tokens > 0 and demand.attained_tokens == 0,
        )
