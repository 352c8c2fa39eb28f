"""What this host knows of all targets, and its choice among them."""

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

PROBE_SECONDS = 30.0
VIEW_SECONDS = 0.1


@dataclass(slots=True)
class _Known:
    view: TargetView
    breaker: CircuitBreaker


class TargetBoard:
    """Views of targets from their documents, queues and failures.

    Parameters
    ----------
    config : ConfigService
        Tells which targets there are.
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
        self._known: dict[str, _Known] = {}
        self._views: tuple[TargetView, ...] = ()
        self._changed = False
        self._changed_at_once = True
        self._built_at = 0.0
        self._lock = threading.Lock()
        config.add_listener(lambda _changes: self._forget_views())

    @classmethod
    def from_config(cls, config: ConfigService) -> "TargetBoard":
        """Return a board with draws of its own."""
        rng = random.Random()
        return cls(config, Router.from_config(RoutingConfig(), rng), rng)

    def target(self, name: str) -> Target | None:
        """Return a target's document."""
        return self.config.state.get(DocumentKind.TARGET, name)

    def choose(self, req: RouteRequest) -> Choice | NoTarget:
        """Choose a target for a call and count it as sent there."""
        now = time.monotonic()
        with self._lock:
            if self._must_build(now):
                self._views = self._build_views(now)
                self._changed = self._changed_at_once = False
                self._built_at = now
            choice = self.router.choose(now, req, self._views)
            if isinstance(choice, Choice):
                self.router.dispatched(now, choice.target)
            return choice

    def ask(self, name: str) -> BreakerPermit | Blocked:
        """Ask the target's circuit breaker; a pass must be reported or withdrawn."""
        with self._lock:
            return self._known[name].breaker.acquire(time.monotonic())

    def report(self, name: str, passed: BreakerPermit, ok: bool) -> None:
        """Report the result of a call that was sent."""
        with self._lock:
            if name in self._known:
                self._known[name].breaker.report(time.monotonic(), passed, ok)
                self._changed_at_once = self._changed_at_once or not ok
                self._changed = True

    def withdraw(self, name: str, passed: BreakerPermit) -> None:
        """Say that a call wasn't sent after all."""
        with self._lock:
            if name in self._known:
                self._known[name].breaker.withdraw(time.monotonic(), passed)

    def finished(self, name: str) -> None:
        """Count a call that was answered, refused or withdrawn."""
        with self._lock:
            self.router.finished(time.monotonic(), name)

    def learn(self, name: str, snapshot: QueueSnapshot | None) -> None:
        """Take in the state of a target's queue that came with an answer."""
        if snapshot is None:
            return
        with self._lock:
            known = self._known.get(name)
            if known is None:
                return
            known.view = replace(
                known.view,
                measured_at=time.monotonic() - snapshot.measured_at,
                running=snapshot.running,
                queued=snapshot.queued,
                limit=snapshot.limit,
                service_seconds=snapshot.service_seconds,
                drain_per_second=snapshot.drain_per_second,
                entry_wait_seconds=snapshot.entry_wait_seconds,
                leaving=known.view.leaving or snapshot.leaving,
            )
            self._changed = True

    def _forget_views(self) -> None:
        with self._lock:
            self._changed_at_once = True

    def _must_build(self, now: float) -> bool:
        """Return whether the views are too old to choose by.

        Edits and failures count at once. Loads come with every answer, seconds late
        anyway: building and indexing 600 views for each would cost more than the
        choice itself.
        """
        if self._changed_at_once:
            return True
        changed = self._changed or self._any_open()
        return changed and now - self._built_at >= VIEW_SECONDS

    def _any_open(self) -> bool:
        return any(not view.alive for view in self._views)

    def _build_views(self, now: float) -> tuple[TargetView, ...]:
        targets = {target.name: target for target in self.config.targets()}
        for name in set(self._known) - set(targets):
            del self._known[name]
        for name, target in targets.items():
            known = self._known.get(name)
            if known is None:
                known = self._known[name] = self._make_known(target, now)
            known.view = replace(
                known.view,
                zone=target.zone,
                serves=(target.serves,),
                leaving=target.leaving,
                alive=_may_try(known.breaker, now),
            )
        return tuple(known.view for known in self._known.values())

    def _make_known(self, target: Target, now: float) -> _Known:
        view = TargetView(
            name=target.name,
            zone=target.zone,
            serves=(target.serves,),
            limit=target.max_concurrency,
        )
        return _Known(view, CircuitBreaker(now, PROBE_SECONDS, self.rng))


def _may_try(breaker: CircuitBreaker, now: float) -> bool:
    """Return whether the breaker would let a call pass, without asking for one."""
    match breaker.state:
        case Closed():
            return True
        case Open(until, _):
            return now >= until
        case HalfOpen(_, given_up_at, _):
            return now >= given_up_at
