"""Tests of lookups of routes, API keys and customers."""

from swifttide_core.forwarding import (
    CustomerTerms,
    RequestKind,
    Route,
    RoutingConfig,
    WeightedService,
)


def route(prefix, host="shop.example", service="app"):
    services = (WeightedService(service, 1.0),)
    return Route(prefix, host, prefix, RequestKind.IDEMPOTENT, services, 1.0, 0.1)


class TestRoutes:
    cfg = RoutingConfig(1, (route("/a/"), route("/a/b/"), route("/", "other.example")))

    def test_longest_prefix_wins(self):
        assert self.cfg.find_route("shop.example", "/a/b/c").prefix == "/a/b/"
        assert self.cfg.find_route("shop.example", "/a/bc").prefix == "/a/"
        assert self.cfg.find_route("shop.example", "/a/b/").prefix == "/a/b/"

    def test_prefix_ends_at_a_slash(self):
        assert self.cfg.find_route("shop.example", "/ab") is None
        assert self.cfg.find_route("shop.example", "/a") is None

    def test_routes_are_matched_per_host(self):
        assert self.cfg.find_route("other.example", "/x").prefix == "/"
        assert self.cfg.find_route("third.example", "/a/") is None


class TestCustomers:
    def test_keys_and_names(self):
        cfg = RoutingConfig(1, customers=(CustomerTerms("c1", ("k1", "k2")),))
        assert cfg.needs_keys
        assert cfg.customer_of("k2").name == "c1"
        assert cfg.customer_of("k3") is None
        assert cfg.customer("c1") is cfg.customer_of("k1")

    def test_keys_are_not_in_repr(self):
        assert "k1" not in repr(CustomerTerms("c1", ("k1",)))
