"""Draws of an entry host."""

from swifttide_core.documents import Customer
from swifttide_core.limits import (
    Batch,
    DrawFailed,
    EntryAllowance,
    NeedDraw,
    RateRefused,
    Taken,
)

CUSTOMER = Customer("c", 10.0, 40.0)
EMPTY = RateRefused(1.0, 0.0, 5.0, 0.5)


def entry():
    return EntryAllowance("h", ("a", "b"))


class TestLife:
    def test_life_counts_from_before_the_draw(self):
        """The answer is held up. Counted from its arrival, the token would live on
        after its holder has filled up again.
        """
        allowance = entry()
        order = allowance.take(0.0, CUSTOMER)
        late = Batch(order.draw_id, 1.0, order.spend_seconds)
        answer = allowance.settle(order.spend_seconds + 0.001, order.draw_id, late)
        assert not isinstance(answer, Taken)

    def test_answer_twice_admits_once(self):
        allowance = entry()
        order = allowance.take(0.0, CUSTOMER)
        batch = Batch(order.draw_id, 1.0, 0.1)
        assert allowance.settle(0.001, order.draw_id, batch) == Taken()
        assert allowance.settle(0.002, order.draw_id, batch) is None

    def test_slow_trips_ask_for_a_longer_life(self):
        """Threads are held up under load. With a fixed life all tokens would come
        too late, and everything be refused.
        """
        allowance = entry()
        order = allowance.take(0.0, CUSTOMER)
        allowance.settle(0.1, order.draw_id, Batch(order.draw_id, 1.0, 0.02))
        assert allowance.take(1.0, CUSTOMER).spend_seconds >= 0.2


class TestZones:
    def test_other_zone_is_asked_when_the_own_is_empty(self):
        allowance = entry()
        first = allowance.take(0.0, CUSTOMER)
        second = allowance.settle(0.001, first.draw_id, EMPTY)
        assert {first.zone, second.zone} == {"a", "b"}

    def test_refused_at_once_while_all_are_known_to_be_empty(self):
        """A customer sends several times its rate. Each refusal would cost a trip to
        every zone, at hosts that are busy already.
        """
        allowance = entry()
        order = allowance.take(0.0, CUSTOMER)
        while isinstance(order, NeedDraw):
            order = allowance.settle(0.001, order.draw_id, EMPTY)
        assert isinstance(allowance.take(0.002, CUSTOMER), RateRefused)

    def test_cut_off_zone_goes_on_alone(self):
        """The other zones aren't reached: the own share still admits."""
        allowance = EntryAllowance("h", ("b", "a"))
        order = allowance.take(0.0, CUSTOMER)
        while order.zone != "b":
            order = allowance.settle(0.0, order.draw_id, DrawFailed())
        batch = Batch(order.draw_id, 1.0, 0.1)
        assert allowance.settle(0.001, order.draw_id, batch) == Taken()

    def test_parts_in_two_zones_make_a_token(self):
        allowance = entry()
        part = RateRefused(1.0, 0.6, 5.0, 0.5)
        order = allowance.take(0.0, CUSTOMER)
        while not order.partial:
            order = allowance.settle(0.001, order.draw_id, part)
        order = allowance.settle(0.002, order.draw_id, Batch(order.draw_id, 0.6, 1.0))
        batch = Batch(order.draw_id, order.wanted, 1.0)
        assert allowance.settle(0.003, order.draw_id, batch) == Taken()

    def test_parts_that_make_no_token_go_back(self):
        allowance = entry()
        part = RateRefused(1.0, 0.6, 5.0, 0.5)
        order = allowance.take(0.0, CUSTOMER)
        while not order.partial:
            order = allowance.settle(0.001, order.draw_id, part)
        order = allowance.settle(0.002, order.draw_id, Batch(order.draw_id, 0.6, 1.0))
        refused = allowance.settle(0.003, order.draw_id, EMPTY)
        assert isinstance(refused, RateRefused)
        assert [back.batch.tokens for back in allowance.returns(0.1)] == [0.6]


class TestMemory:
    def test_customers_not_seen_of_late_are_forgotten(self):
        """Thousands of customers pass through a host in a day, and it has 64 MB."""
        allowance = entry()
        for n in range(100):
            customer = Customer(f"c{n}", 10.0, 40.0)
            order = allowance.take(n * 1.0, customer)
            allowance.settle(n * 1.0, order.draw_id, Batch(order.draw_id, 1.0, 0.1))
        allowance.returns(99.0)
        assert len(allowance.known_customers) <= 60

    def test_a_waiting_request_finds_its_customer(self):
        """An answer comes after the customer would have been forgotten."""
        allowance = entry()
        order = allowance.take(0.0, CUSTOMER)
        allowance.returns(100.0)
        assert allowance.settle(100.0, order.draw_id, DrawFailed()) is not None
