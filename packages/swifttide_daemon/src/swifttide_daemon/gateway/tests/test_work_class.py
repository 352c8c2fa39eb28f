"""Tests of the order of requests by the priorities of customers and routes."""

from swifttide_core.forwarding import (
    CustomerTerms,
    RequestKind,
    Route,
    WeightedService,
)
from swifttide_daemon.gateway.callers._job import work_class


def rank(route_priority, customer_priority=None):
    services = (WeightedService("chat", 1.0),)
    route = Route(
        "r",
        "h",
        "/",
        RequestKind.STREAMING,
        services,
        3.0,
        0.2,
        priority=route_priority,
    )
    return work_class(route, CustomerTerms("c", priority=customer_priority)).rank


class TestRank:
    def test_customer_goes_before_route(self):
        """Guards against a customer with a high priority that waits for a low one."""
        assert rank(2, 0) < rank(0, 1)

    def test_route_decides_among_customers_of_one_priority(self):
        """Guards against routes that are treated alike where customers have priorities.

        Programs of the most urgent route were refused as often as the others then.
        """
        assert rank(0, 1) < rank(1, 1) < rank(2, 1)

    def test_route_decides_for_customers_without_a_priority(self):
        assert rank(0) < rank(1) < rank(2)
        assert rank(1) == rank(1, 1)
