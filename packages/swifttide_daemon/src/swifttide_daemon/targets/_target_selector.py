"""Selects the target of a call from the state known at this host.

The inputs are the documents of the targets, the states of their queues that arrive with
answers, and a circuit breaker per target that counts failures. `Router` makes the
choice from views of this state.
"""

import random
import threading
import time
from dataclasses import dataclass, replace

from swifttide_core.admission import QueueSnapshot
from swifttide_core.documents import DocumentKind, Target
from swifttide_core.retries import (
    Blocked,
    BreakerPermit,
    CircuitBreaker,
    Closed,
    HalfOpen,
    Open,
)
from swifttide_core.routing import (
    Choice,
    NoTarget,
    Router,
    RouteRequest,
    RoutingConfig,
    TargetView,
)
from swifttide_daemon.configuration import ConfigService

PROBE_TIMEOUT_SECONDS = 30.0
VIEW_REBUILD_SECONDS = 0.1


@dataclass(slots=True)
class _TargetState:
    view: TargetView
    breaker: CircuitBreaker


class TargetSelector:
    """Keeps the state of all targets and selects among them.

    Parameters
    ----------
    config : ConfigService
        Provides the documents of all targets.
    router : Router
    rng : random.Random
        Jitter of the circuit breakers.
    """

    def __init__(
        self, config: ConfigService, router: Router, rng: random.Random
    ) -> None:
        self.config = config
        self.router = router
        self.rng = rng
        self._states: dict[str, _TargetState] = {}
        self._views: tuple[TargetView, ...] = ()
        self._has_changes = False
        self._must_rebuild_now = True
        self._built_at = 0.0
        self._lock = threading.Lock()
        config.add_listener(lambda _changes: self._request_rebuild())

    @classmethod
    def from_config(cls, config: ConfigService) -> "TargetSelector":
        """Return a selector with a new random generator."""
        rng = random.Random()
        return cls(config, Router.from_config(RoutingConfig(), rng), rng)

    def target(self, name: str) -> Target | None:
        """Return the document of a target, or None."""
        return self.config.state.get(DocumentKind.TARGET, name)

    def choose(self, req: RouteRequest) -> Choice | NoTarget:
        """Choose a target for a call and count the call as dispatched to it."""
        now = time.monotonic()
        with self._lock:
            if self._must_rebuild(now):
                self._views = self._build_views(now)
                self._has_changes = self._must_rebuild_now = False
                self._built_at = now
            choice = self.router.choose(now, req, self._views)
            if isinstance(choice, Choice):
                self.router.dispatched(now, choice.target)
            return choice

    def acquire_breaker_permit(self, name: str) -> BreakerPermit | Blocked:
        """Ask the circuit breaker of a target whether a call may be sent.

        A permit must be passed to `report_result` or `withdraw_permit`.
        """
        with self._lock:
            return self._states[name].breaker.acquire(time.monotonic())

    def report_result(self, name: str, permit: BreakerPermit, ok: bool) -> None:
        """Report to the circuit breaker whether a call that was sent succeeded."""
        with self._lock:
            if name in self._states:
                self._states[name].breaker.report(time.monotonic(), permit, ok)
                self._must_rebuild_now = self._must_rebuild_now or not ok
                self._has_changes = True

    def withdraw_permit(self, name: str, permit: BreakerPermit) -> None:
        """Return the permit of a call that was not sent."""
        with self._lock:
            if name in self._states:
                self._states[name].breaker.withdraw(time.monotonic(), permit)

    def count_finished(self, name: str) -> None:
        """Count a dispatched call as ended: answered, refused or withdrawn."""
        with self._lock:
            self.router.finished(time.monotonic(), name)

    def update_queue_state(self, name: str, snapshot: QueueSnapshot | None) -> None:
        """Update the state of a target's queue, received with an answer."""
        if snapshot is None:
            return
        with self._lock:
            state = self._states.get(name)
            if state is None:
                return
            state.view = replace(
                state.view,
                measured_at=time.monotonic() - snapshot.measured_at,
                running=snapshot.running,
                queued=snapshot.queued,
                limit=snapshot.limit,
                service_seconds=snapshot.service_seconds,
                drain_per_second=snapshot.drain_per_second,
                entry_wait_seconds=snapshot.entry_wait_seconds,
                leaving=state.view.leaving or snapshot.leaving,
            )
            self._has_changes = True

    def _request_rebuild(self) -> None:
        with self._lock:
            self._must_rebuild_now = True

    def _must_rebuild(self, now: float) -> bool:
        """Return whether the views must be rebuilt before the next choice.

        Edits and failures apply immediately. Queue states arrive with every answer and
        are seconds old anyway; they apply after up to `VIEW_REBUILD_SECONDS`, since
        building and indexing 600 views for each would cost more than the choice itself.
        """
        if self._must_rebuild_now:
            return True
        changed = self._has_changes or self._any_unavailable()
        return changed and now - self._built_at >= VIEW_REBUILD_SECONDS

    def _any_unavailable(self) -> bool:
        return any(not view.alive for view in self._views)

    def _build_views(self, now: float) -> tuple[TargetView, ...]:
        targets = {target.name: target for target in self.config.targets()}
        for name in set(self._states) - set(targets):
            del self._states[name]
        for name, target in targets.items():
            state = self._states.get(name)
            if state is None:
                state = self._states[name] = self._new_state(target, now)
            state.view = replace(
                state.view,
                zone=target.zone,
                serves=(target.serves,),
                leaving=target.leaving,
                alive=_admits_calls(state.breaker, now),
            )
        return tuple(state.view for state in self._states.values())

    def _new_state(self, target: Target, now: float) -> _TargetState:
        view = TargetView(
            name=target.name,
            zone=target.zone,
            serves=(target.serves,),
            limit=target.max_concurrency,
        )
        return _TargetState(view, CircuitBreaker(now, PROBE_TIMEOUT_SECONDS, self.rng))


def _admits_calls(breaker: CircuitBreaker, now: float) -> bool:
    """Return whether the breaker would admit a call, without taking a permit."""
    match breaker.state:
        case Closed():
            return True
        case Open(until, _):
            return now >= until
        case HalfOpen(_, given_up_at, _):
            return now >= given_up_at
