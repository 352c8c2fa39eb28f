"""Tests of the rate limiter of an entry host."""

from swifttide_core.documents import Customer
from swifttide_core.limits import (
    Batch,
    DrawFailed,
    DrawOrder,
    EntryRateLimiter,
    RateAdmitted,
    RateRefused,
)

CUSTOMER = Customer("c", 10.0, 40.0)
EMPTY = RateRefused(1.0, 0.0, 5.0, 0.5)


def rate_limiter():
    return EntryRateLimiter("h", ("a", "b"))


class TestTokenTtl:
    def test_ttl_is_counted_from_before_the_draw(self):
        """Guards against using a token that its holder counts as expired.

        The answer is delayed. If the lifetime were counted from its arrival, the token
        would still be valid after the holder refilled its bucket.
        """
        limiter = rate_limiter()
        order = limiter.admit(0.0, CUSTOMER)
        late = Batch(order.draw_id, 1.0, order.spend_seconds)
        answer = limiter.settle(order.spend_seconds + 0.001, order.draw_id, late)
        assert not isinstance(answer, RateAdmitted)

    def test_repeated_answer_admits_once(self):
        limiter = rate_limiter()
        order = limiter.admit(0.0, CUSTOMER)
        batch = Batch(order.draw_id, 1.0, 0.1)
        assert limiter.settle(0.001, order.draw_id, batch) == RateAdmitted()
        assert limiter.settle(0.002, order.draw_id, batch) is None

    def test_slow_round_trips_request_a_longer_ttl(self):
        """Guards against refusing all requests under load.

        Threads are delayed under load. With a fixed lifetime, all tokens would arrive
        after they expired.
        """
        limiter = rate_limiter()
        order = limiter.admit(0.0, CUSTOMER)
        limiter.settle(0.1, order.draw_id, Batch(order.draw_id, 1.0, 0.02))
        assert limiter.admit(1.0, CUSTOMER).spend_seconds >= 0.2


class TestZones:
    def test_other_zone_is_tried_when_own_zone_is_empty(self):
        limiter = rate_limiter()
        first = limiter.admit(0.0, CUSTOMER)
        second = limiter.settle(0.001, first.draw_id, EMPTY)
        assert {first.zone, second.zone} == {"a", "b"}

    def test_request_is_refused_without_draws_while_all_zones_are_empty(self):
        """Guards against draws for each refusal of a customer above its rate.

        The customer sends several times its rate. Without cached refusals, each of its
        requests would cause a round trip to every zone at hosts under load.
        """
        limiter = rate_limiter()
        order = limiter.admit(0.0, CUSTOMER)
        while isinstance(order, DrawOrder):
            order = limiter.settle(0.001, order.draw_id, EMPTY)
        assert isinstance(limiter.admit(0.002, CUSTOMER), RateRefused)

    def test_isolated_zone_admits_from_its_own_share(self):
        """The other zones are not reachable; the own share still admits requests."""
        limiter = EntryRateLimiter("h", ("b", "a"))
        order = limiter.admit(0.0, CUSTOMER)
        while order.zone != "b":
            order = limiter.settle(0.0, order.draw_id, DrawFailed())
        batch = Batch(order.draw_id, 1.0, 0.1)
        assert limiter.settle(0.001, order.draw_id, batch) == RateAdmitted()

    def test_partial_tokens_of_two_zones_admit_a_request(self):
        limiter = rate_limiter()
        fraction = RateRefused(1.0, 0.6, 5.0, 0.5)
        order = limiter.admit(0.0, CUSTOMER)
        while not order.partial:
            order = limiter.settle(0.001, order.draw_id, fraction)
        order = limiter.settle(0.002, order.draw_id, Batch(order.draw_id, 0.6, 1.0))
        batch = Batch(order.draw_id, order.wanted, 1.0)
        assert limiter.settle(0.003, order.draw_id, batch) == RateAdmitted()

    def test_insufficient_partial_tokens_are_returned(self):
        limiter = rate_limiter()
        fraction = RateRefused(1.0, 0.6, 5.0, 0.5)
        order = limiter.admit(0.0, CUSTOMER)
        while not order.partial:
            order = limiter.settle(0.001, order.draw_id, fraction)
        order = limiter.settle(0.002, order.draw_id, Batch(order.draw_id, 0.6, 1.0))
        refused = limiter.settle(0.003, order.draw_id, EMPTY)
        assert isinstance(refused, RateRefused)
        assert [returned.batch.tokens for returned in limiter.due_returns(0.1)] == [0.6]


class TestMemory:
    def test_idle_customers_are_evicted(self):
        """A host serves thousands of customers per day with 64 MB of memory."""
        limiter = rate_limiter()
        for n in range(100):
            customer = Customer(f"c{n}", 10.0, 40.0)
            order = limiter.admit(n * 1.0, customer)
            limiter.settle(n * 1.0, order.draw_id, Batch(order.draw_id, 1.0, 0.1))
        limiter.due_returns(99.0)
        assert len(limiter.known_customers) <= 60

    def test_customer_with_pending_draw_is_not_evicted(self):
        """The answer arrives after the customer would have been evicted."""
        limiter = rate_limiter()
        order = limiter.admit(0.0, CUSTOMER)
        limiter.due_returns(100.0)
        assert limiter.settle(100.0, order.draw_id, DrawFailed()) is not None
