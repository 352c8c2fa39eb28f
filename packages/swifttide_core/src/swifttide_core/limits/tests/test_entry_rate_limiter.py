"""Draws of an entry host."""

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
        """The answer is held up. Counted from its arrival, the token would live on
        after its holder has filled up again.
        """
        allowance = rate_limiter()
        order = allowance.admit(0.0, CUSTOMER)
        late = Batch(order.draw_id, 1.0, order.spend_seconds)
        answer = allowance.settle(order.spend_seconds + 0.001, order.draw_id, late)
        assert not isinstance(answer, RateAdmitted)

    def test_repeated_answer_admits_once(self):
        allowance = rate_limiter()
        order = allowance.admit(0.0, CUSTOMER)
        batch = Batch(order.draw_id, 1.0, 0.1)
        assert allowance.settle(0.001, order.draw_id, batch) == RateAdmitted()
        assert allowance.settle(0.002, order.draw_id, batch) is None

    def test_slow_round_trips_request_a_longer_ttl(self):
        """Threads are held up under load. With a fixed life all tokens would come
        too late, and everything be refused.
        """
        allowance = rate_limiter()
        order = allowance.admit(0.0, CUSTOMER)
        allowance.settle(0.1, order.draw_id, Batch(order.draw_id, 1.0, 0.02))
        assert allowance.admit(1.0, CUSTOMER).spend_seconds >= 0.2


class TestZones:
    def test_other_zone_is_tried_when_own_zone_is_empty(self):
        allowance = rate_limiter()
        first = allowance.admit(0.0, CUSTOMER)
        second = allowance.settle(0.001, first.draw_id, EMPTY)
        assert {first.zone, second.zone} == {"a", "b"}

    def test_request_is_refused_without_draws_while_all_zones_are_empty(self):
        """A customer sends several times its rate. Each refusal would cost a trip to
        every zone, at hosts that are busy already.
        """
        allowance = rate_limiter()
        order = allowance.admit(0.0, CUSTOMER)
        while isinstance(order, DrawOrder):
            order = allowance.settle(0.001, order.draw_id, EMPTY)
        assert isinstance(allowance.admit(0.002, CUSTOMER), RateRefused)

    def test_isolated_zone_admits_from_its_own_share(self):
        """The other zones aren't reached: the own share still admits."""
        allowance = EntryRateLimiter("h", ("b", "a"))
        order = allowance.admit(0.0, CUSTOMER)
        while order.zone != "b":
            order = allowance.settle(0.0, order.draw_id, DrawFailed())
        batch = Batch(order.draw_id, 1.0, 0.1)
        assert allowance.settle(0.001, order.draw_id, batch) == RateAdmitted()

    def test_partial_tokens_of_two_zones_admit_a_request(self):
        allowance = rate_limiter()
        part = RateRefused(1.0, 0.6, 5.0, 0.5)
        order = allowance.admit(0.0, CUSTOMER)
        while not order.partial:
            order = allowance.settle(0.001, order.draw_id, part)
        order = allowance.settle(0.002, order.draw_id, Batch(order.draw_id, 0.6, 1.0))
        batch = Batch(order.draw_id, order.wanted, 1.0)
        assert allowance.settle(0.003, order.draw_id, batch) == RateAdmitted()

    def test_insufficient_partial_tokens_are_returned(self):
        allowance = rate_limiter()
        part = RateRefused(1.0, 0.6, 5.0, 0.5)
        order = allowance.admit(0.0, CUSTOMER)
        while not order.partial:
            order = allowance.settle(0.001, order.draw_id, part)
        order = allowance.settle(0.002, order.draw_id, Batch(order.draw_id, 0.6, 1.0))
        refused = allowance.settle(0.003, order.draw_id, EMPTY)
        assert isinstance(refused, RateRefused)
        assert [back.batch.tokens for back in allowance.due_returns(0.1)] == [0.6]


class TestMemory:
    def test_idle_customers_are_evicted(self):
        """Thousands of customers pass through a host in a day, and it has 64 MB."""
        allowance = rate_limiter()
        for n in range(100):
            customer = Customer(f"c{n}", 10.0, 40.0)
            order = allowance.admit(n * 1.0, customer)
            allowance.settle(n * 1.0, order.draw_id, Batch(order.draw_id, 1.0, 0.1))
        allowance.due_returns(99.0)
        assert len(allowance.known_customers) <= 60

    def test_customer_with_pending_draw_is_not_evicted(self):
        """An answer comes after the customer would have been forgotten."""
        allowance = rate_limiter()
        order = allowance.admit(0.0, CUSTOMER)
        allowance.due_returns(100.0)
        assert allowance.settle(100.0, order.draw_id, DrawFailed()) is not None
