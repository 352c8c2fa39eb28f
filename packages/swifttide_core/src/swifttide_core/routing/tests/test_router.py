"""Tests of target selection."""

import random
from collections import Counter
from dataclasses import replace

from swifttide_core.routing import (
    CachedPrefix,
    Choice,
    NoTarget,
    Router,
    RouteRequest,
    RoutingConfig,
    TargetView,
)

MODEL = "m"


def make_router(seed=0):
    return Router.from_config(RoutingConfig(), random.Random(seed))


def make_views(n=4, zone="a"):
    return tuple(TargetView(f"e{i}", zone, (MODEL,)) for i in range(n))


class TestChoose:
    def test_prefers_target_with_cached_prefix(self):
        req = RouteRequest(MODEL, "a", 20_000, (CachedPrefix("e2", 19_000),))
        choice = make_router().choose(0.0, req, make_views())
        assert (choice.target, choice.cached_tokens) == ("e2", 19_000)

    def test_avoids_cached_prefix_behind_a_long_queue(self):
        """Guards against waiting for a cached prefix behind a long queue.

        Waiting would take longer than computing the history again on an idle target.
        """
        views = make_views()
        queued_view = replace(views[2], running=8, queued=40)
        views = (*views[:2], queued_view, views[3])
        req = RouteRequest(MODEL, "a", 10_000, (CachedPrefix("e2", 9_000),))
        assert make_router().choose(0.0, req, views).target != "e2"

    def test_hosts_with_the_same_stale_report_spread_requests(self):
        """Guards against overloading the target with the lowest reported load.

        One target reported no load seconds ago, the others a low load. If every host
        selected the best target, it would be overloaded until the next report.
        """
        views = make_views(8)
        busy = tuple(replace(v, running=4) for v in views[1:])
        views = (views[0], *busy)
        counts = Counter()
        for host in range(20):
            router = make_router(host)
            for _ in range(5):
                choice = router.choose(0.0, RouteRequest(MODEL, "a"), views)
                router.dispatched(0.0, choice.target)
                counts[choice.target] += 1
        assert counts["e0"] < 50
        assert len(counts) == 8

    def test_ineligible_targets_get_no_requests(self):
        views = (
            TargetView("leaving", "a", (MODEL,), leaving=True),
            TargetView("dead", "a", (MODEL,), alive=False),
            TargetView("other", "a", ("other-model",)),
            TargetView("good", "a", (MODEL,)),
        )
        held = tuple(CachedPrefix(v.name, 5_000) for v in views)
        for seed in range(20):
            req = RouteRequest(MODEL, "a", 5_000, held)
            assert make_router(seed).choose(0.0, req, views).target == "good"

    def test_own_zone_is_preferred(self):
        views = make_views(2, "a") + tuple(
            TargetView(f"f{i}", "b", (MODEL,)) for i in range(2)
        )
        for seed in range(20):
            choice = make_router(seed).choose(0.0, RouteRequest(MODEL, "a"), views)
            assert choice.zone == "a"

    def test_other_zone_is_used_only_if_allowed(self):
        views = make_views(2, "b")
        req = RouteRequest(MODEL, "a")
        assert isinstance(make_router().choose(0.0, req, views), Choice)
        req = replace(req, allow_other_zones=False)
        assert isinstance(make_router().choose(0.0, req, views), NoTarget)

    def test_tried_targets_are_avoided_until_none_is_left(self):
        views = make_views(2)
        router = make_router()
        req = RouteRequest(MODEL, "a", avoid=frozenset({"e0"}))
        assert router.choose(0.0, req, views).target == "e1"
        req = replace(req, avoid=frozenset({"e0", "e1"}))
        answer = router.choose(0.0, req, views)
        assert answer.refusal.retry_after_seconds > 0

    def test_slow_target_gets_fewer_requests(self):
        """Guards against an even distribution among targets of different speed.

        One of four targets has a fifth of the speed of the others. With an even
        distribution, a fourth of all callers would wait five times as long.
        """
        views = make_views()
        slow = replace(views[0], drain_per_second=0.8, service_seconds=10.0)
        views = (slow, *(replace(v, drain_per_second=4.0) for v in views[1:]))
        router = make_router()
        counts = Counter()
        for _ in range(100):
            target = router.choose(0.0, RouteRequest(MODEL, "a"), views).target
            router.dispatched(0.0, target)
            counts[target] += 1
        assert counts["e0"] < 15

    def test_programs_keep_cached_prefix_when_a_target_returns(self):
        """Guards against moving all programs to a target that returned.

        The target returns without load while the others are busy. If every program
        moved there, it would have to compute all their histories at once.
        """
        views = make_views()
        views = (views[0], *(replace(v, running=6) for v in views[1:]))
        router = make_router()
        for number in range(20):
            held = f"e{1 + number % 3}"
            req = RouteRequest(MODEL, "a", 8_000, (CachedPrefix(held, 7_500),))
            assert router.choose(0.0, req, views).target == held
