"""Select the target for a call.

Load pattern: many hosts select targets concurrently, from load reports that are seconds
old. Calls of a program share a long prefix that one target has cached. Targets slow
down, shut down, fail and return.

Without this module, every host would send its calls to the target that was idle seconds
ago and overload it, then do the same with the next one. Programs would compute their
history again at each turn, or all wait for the one target that has it cached.

The targets with a cached prefix and a few others, sampled at random, are compared by
the expected time to the first token. This is the sum of:

- the reported queue plus the calls that this host has sent since the report, divided by
  the drain rate,
- the uncached part of the prompt, divided by the prefill speed,
- a penalty for a target of another zone.

Random sampling keeps hosts with the same stale reports from selecting the same target.
Two samples achieve most of the gain of comparing all targets [1]_. For the other
constants, see docs/measurements.md and docs/design/routing.md.

A target that returns needs no special treatment: programs stay with their cached
prefixes, so that it gets only new programs, and its reported queue shows them to the
other hosts.

References
----------
.. [1] M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
   IEEE TPDS 12(10), 2001.
"""

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from swifttide_core.routing._choice import Choice, NoTarget
from swifttide_core.routing._config import RoutingConfig, check_routing_config
from swifttide_core.routing._route_request import RouteRequest
from swifttide_core.routing._target_index import TargetIndex
from swifttide_core.routing._target_view import TargetView
from swifttide_core.verdicts import Reason, Refusal


@dataclass(slots=True)
class _LocalLoad:
    """Calls of this host at one target, in total and since the last load report."""

    outstanding: int = 0
    change_since_report: int = 0
    reported_at: float = float("-inf")


class Router:
    """Target selection of one host.

    Parameters
    ----------
    cfg : RoutingConfig
        Weights and time constants.
    rng : random.Random
        Random generator for sampling. Hosts must not share a seed.
    """

    def __init__(self, cfg: RoutingConfig, rng: random.Random) -> None:
        self._cfg = cfg
        self._rng = rng
        self._index = TargetIndex(())
        self._local_loads: dict[str, _LocalLoad] = {}

    @classmethod
    def from_config(cls, cfg: RoutingConfig, rng: random.Random) -> "Router":
        """Return a router that knows no targets yet.

        Raises
        ------
        ValueError
            If a setting is out of range.
        """
        return cls(check_routing_config(cfg), rng)

    def choose(
        self, now: float, req: RouteRequest, views: tuple[TargetView, ...]
    ) -> Choice | NoTarget:
        """Select a target; report its use with :meth:`dispatched`.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        req : RouteRequest
            Call that needs a target.
        views : tuple of TargetView
            All known targets. Pass the same tuple object while nothing changes, since
            each new object is indexed again.
        """
        if views is not self._index.views:
            self._index = TargetIndex(views)
        best = None
        for view in self._candidates(req):
            choice = self._estimate(now, req, view)
            if best is None or choice.expected_seconds < best.expected_seconds:
                best = choice
        if best is None:
            return self._no_target(req)
        return best

    def dispatched(self, now: float, target: str) -> None:
        """Count a call that is sent to a target, including calls that wait there."""
        local = self._local_loads.setdefault(target, _LocalLoad())
        local.outstanding += 1
        local.change_since_report += 1

    def finished(self, now: float, target: str) -> None:
        """Count a call that was answered, refused or cancelled."""
        local = self._local_loads.get(target)
        if local is None:
            return
        local.outstanding = max(0, local.outstanding - 1)
        local.change_since_report -= 1

    def _candidates(self, req: RouteRequest) -> Iterable[TargetView]:
        seen = set(req.avoid)
        for prefix in req.prefixes:
            view = self._index.find(prefix.target, req.serves)
            if (
                view is None
                or view.name in seen
                or not self._is_zone_allowed(req, view)
            ):
                continue
            seen.add(view.name)
            yield view
        own = self._sample(self._index.in_zone(req.serves, req.zone), seen)
        yield from own
        if req.allow_other_zones:
            yield from self._sample(
                self._index.outside_zone(req.serves, req.zone), seen
            )

    def _is_zone_allowed(self, req: RouteRequest, view: TargetView) -> bool:
        return req.allow_other_zones or view.zone == req.zone

    def _sample(self, views: Sequence[TargetView], seen: set[str]) -> list[TargetView]:
        if len(views) <= self._cfg.n_choices + len(seen):
            drawn = [view for view in views if view.name not in seen]
            self._rng.shuffle(drawn)
        else:
            n_draws = self._cfg.n_choices + len(seen)
            drawn = self._rng.sample(views, n_draws)
            drawn = [view for view in drawn if view.name not in seen]
        drawn = drawn[: self._cfg.n_choices]
        seen.update(view.name for view in drawn)
        return drawn

    def _estimate(self, now: float, req: RouteRequest, view: TargetView) -> Choice:
        cached = self._cached_tokens(req, view)
        seconds = self._wait_seconds(now, view)
        uncached = max(0, req.prompt_tokens - cached)
        seconds += uncached / self._cfg.prefill_tokens_per_second
        if req.new_program:
            seconds += view.entry_wait_seconds
        if view.zone != req.zone:
            seconds += self._cfg.cross_zone_penalty_seconds
        return Choice(view.name, view.zone, cached, seconds)

    def _cached_tokens(self, req: RouteRequest, view: TargetView) -> int:
        held = (p.tokens for p in req.prefixes if p.target == view.name)
        return min(req.prompt_tokens, max(held, default=0))

    def _wait_seconds(self, now: float, view: TargetView) -> float:
        limit = max(view.limit, 1)
        load = view.running + view.queued
        local = self._local_loads.get(view.name)
        if local is not None:
            load = self._corrected_load(now, view, local, load)
        rate = limit / view.service_seconds
        if view.drain_per_second > 0:
            rate = view.drain_per_second
        queued = max(0.0, load + 1.0 - limit)
        busy = min(load, limit) / limit
        return queued / max(rate, 1e-3) + busy * view.service_seconds / limit

    def _corrected_load(
        self, now: float, view: TargetView, local: _LocalLoad, reported: int
    ) -> float:
        if view.measured_at > local.reported_at:
            local.reported_at = view.measured_at
            local.change_since_report = 0
        if now - view.measured_at > self._cfg.max_report_age_seconds:
            return local.outstanding
        return max(reported + local.change_since_report, local.outstanding)

    def _no_target(self, req: RouteRequest) -> NoTarget:
        detail = f"no target that serves {req.serves!r} accepts calls"
        if req.avoid:
            detail = f"all targets that serve {req.serves!r} were already tried"
        return NoTarget(
            Refusal(
                Reason.NO_TARGET,
                detail,
                retry_after_seconds=self._cfg.default_retry_seconds,
            )
        )
