"""Weighted fair queue of the calls that wait for one target.

One customer can send several times its rate, or programs of a hundred calls, while
others send a call now and then. First come, first served would give the engine to the
customer with the most calls; fairness by calls instead of tokens would give it to the
customer with the longest calls.

Each customer has a virtual counter of the tokens served, divided by its weight. The
customer with the smallest counter goes next, and its calls are ordered by a score. A
customer that returns after a pause starts at the current virtual time, so that it can't
accumulate claims while it sends nothing. Expected tokens are charged at the start of a
call and corrected at its end. First calls of programs wait in a lane of their own, with
the same counters, since they may be held back for lack of memory at the target.

References
----------
.. [1] Y. Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024.
.. [2] P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.

Notes
-----
There is a heap of calls for each customer and lane, and a heap of customers for each
lane. Push, pop and withdraw take amortised O(log n) time. Outdated entries are skipped
when they reach the top of a heap.
"""

import heapq
import itertools
from dataclasses import dataclass, field
from enum import IntEnum

from swifttide_core.admission._ticket import Ticket


class Lane(IntEnum):
    """Lane of the queue in which a call waits."""

    READY = 0
    """Calls of started programs, and urgent calls; they are never held back."""

    ENTRY = 1
    """First calls of programs and sub-agents, which may have to wait for memory."""


@dataclass(slots=True)
class _CustomerLane:
    call_heap: list[tuple[float, int, str]] = field(default_factory=list)
    tokens_by_urgency: dict[int, float] = field(default_factory=dict)
    n_queued: int = 0
    heap_sequence: int = 0


@dataclass(slots=True)
class _CustomerState:
    counter: float
    weight: float = 1.0
    n_in_flight: int = 0
    lanes: tuple[_CustomerLane, _CustomerLane] = field(
        default_factory=lambda: (_CustomerLane(), _CustomerLane())
    )

    @property
    def n_queued(self) -> int:
        return self.lanes[0].n_queued + self.lanes[1].n_queued

    @property
    def is_active(self) -> bool:
        return self.n_queued + self.n_in_flight > 0


class FairQueue:
    """Calls that wait for one target, in the order in which they are admitted.

    Attributes
    ----------
    active_weight : float
        Sum of the weights of customers with waiting or running calls.
    """

    def __init__(self) -> None:
        self._customers: dict[str, _CustomerState] = {}
        self._customer_heaps: tuple[list, list] = ([], [])
        self._idle_customers: list[tuple[float, str]] = []
        self._tickets: dict[str, tuple[Ticket, int]] = {}
        self._sequence = itertools.count()
        self._virtual_tokens = 0.0
        self._n_waiting_first_calls = 0
        self.active_weight = 0.0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._tickets)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether the call is waiting."""
        return ticket_id in self._tickets

    @property
    def n_waiting_first_calls(self) -> int:
        """Number of waiting calls in the entry lane."""
        return self._n_waiting_first_calls

    @property
    def n_customers(self) -> int:
        """Number of customers whose counters are kept."""
        return len(self._customers)

    def push(self, ticket: Ticket, score: float) -> None:
        """Add a waiting call.

        Parameters
        ----------
        ticket : Ticket
            The call.
        score : float
            Calls with smaller scores go first within their customer and lane.
        """
        state = self._activate(ticket)
        lane = state.lanes[lane_of(ticket)]
        sequence = next(self._sequence)
        heapq.heappush(lane.call_heap, (score, sequence, ticket.ticket_id))
        self._tickets[ticket.ticket_id] = (ticket, sequence)
        tokens = lane.tokens_by_urgency.get(ticket.urgency, 0.0)
        lane.tokens_by_urgency[ticket.urgency] = tokens + ticket.expected_tokens
        lane.n_queued += 1
        self._n_waiting_first_calls += lane_of(ticket)
        if lane.n_queued == 1:
            self._push_customer(ticket.customer, state, lane_of(ticket))

    def peek_first_call(self) -> Ticket | None:
        """Return the next call of the entry lane; None if it is empty."""
        name = self._top_customer(Lane.ENTRY)
        if name is None:
            return None
        lane = self._customers[name].lanes[Lane.ENTRY]
        self._skip_stale(lane)
        return self._tickets[lane.call_heap[0][2]][0]

    def pop(self, entry_allowed: bool = True) -> Ticket | None:
        """Remove and return the call that goes next, and charge its customer.

        None is returned if no call may go.

        Parameters
        ----------
        entry_allowed : bool
            Whether a call of the entry lane may be taken.
        """
        chosen, counter = None, float("inf")
        for lane in Lane:
            if lane is Lane.ENTRY and not entry_allowed:
                continue
            name = self._top_customer(lane)
            if name is not None and self._customers[name].counter < counter:
                chosen, counter = (name, lane), self._customers[name].counter
        if chosen is None:
            return None
        name, lane = chosen
        state = self._customers[name]
        ticket = self._pop_call(state, lane)
        self._charge(ticket, state)
        return ticket

    def withdraw(self, ticket_id: str) -> Ticket | None:
        """Remove and return a waiting call; return None if it does not wait."""
        entry = self._tickets.pop(ticket_id, None)
        if entry is None:
            return None
        ticket = entry[0]
        state = self._customers[ticket.customer]
        self._remove_from_totals(ticket, state)
        self._deactivate(ticket.customer, state)
        return ticket

    def start(self, ticket: Ticket) -> None:
        """Charge the customer for a call that starts without waiting."""
        self._charge(ticket, self._activate(ticket))

    def finish(self, ticket: Ticket, tokens: float) -> None:
        """Replace the expected cost of a call that ended by its actual cost.

        Parameters
        ----------
        ticket : Ticket
            The call.
        tokens : float
            Actual cost of the call, in the units of `call_cost`.
        """
        state = self._customers[ticket.customer]
        state.n_in_flight -= 1
        state.counter += (tokens - ticket.expected_tokens) / ticket.weight
        self._push_waiting_customer(ticket.customer, state)
        self._deactivate(ticket.customer, state)

    def tokens_ahead(self, ticket: Ticket) -> float:
        """Return the expected tokens of the customer's calls that go before it."""
        state = self._customers.get(ticket.customer)
        if state is None:
            return 0.0
        return sum(
            tokens
            for lane in state.lanes[: lane_of(ticket) + 1]
            for urgency, tokens in lane.tokens_by_urgency.items()
            if urgency >= ticket.urgency
        )

    def first_calls_ahead(self, ticket: Ticket) -> int:
        """Return the number of the customer's calls in the entry lane."""
        state = self._customers.get(ticket.customer)
        return 0 if state is None else state.lanes[Lane.ENTRY].n_queued

    def share(self, ticket: Ticket) -> float:
        """Return the fraction of the target that the customer gets, in (0, 1]."""
        state = self._customers.get(ticket.customer)
        others = self.active_weight
        if state is not None and state.is_active:
            others -= state.weight
        return ticket.weight / (ticket.weight + max(0.0, others))

    def tickets(self) -> tuple[Ticket, ...]:
        """Return the waiting calls in the order of their arrival."""
        return tuple(ticket for ticket, _ in self._tickets.values())

    def _activate(self, ticket: Ticket) -> _CustomerState:
        state = self._customers.get(ticket.customer)
        if state is None:
            state = _CustomerState(counter=self._virtual_tokens)
            self._customers[ticket.customer] = state
        if not state.is_active:
            state.weight = ticket.weight
            self.active_weight += ticket.weight
        if state.n_queued == 0:
            state.counter = max(state.counter, self._virtual_tokens)
        return state

    def _deactivate(self, name: str, state: _CustomerState) -> None:
        if state.is_active:
            return
        self.active_weight = max(0.0, self.active_weight - state.weight)
        heapq.heappush(self._idle_customers, (state.counter, name))
        self._forget_idle()

    def _forget_idle(self) -> None:
        while (
            self._idle_customers and self._idle_customers[0][0] <= self._virtual_tokens
        ):
            _, name = heapq.heappop(self._idle_customers)
            state = self._customers.get(name)
            if state is None or state.is_active:
                continue
            if state.counter <= self._virtual_tokens:
                del self._customers[name]

    def _push_waiting_customer(self, name: str, state: _CustomerState) -> None:
        for lane in Lane:
            if state.lanes[lane].n_queued:
                self._push_customer(name, state, lane)

    def _push_customer(self, name: str, state: _CustomerState, lane: Lane) -> None:
        heap_sequence = next(self._sequence)
        state.lanes[lane].heap_sequence = heap_sequence
        heapq.heappush(self._customer_heaps[lane], (state.counter, heap_sequence, name))

    def _top_customer(self, lane: Lane) -> str | None:
        heap = self._customer_heaps[lane]
        while heap:
            _, heap_sequence, name = heap[0]
            state = self._customers.get(name)
            if state is not None:
                waiting = state.lanes[lane]
                if waiting.n_queued and waiting.heap_sequence == heap_sequence:
                    return name
            heapq.heappop(heap)
        return None

    def _skip_stale(self, lane: _CustomerLane) -> None:
        while True:
            _, sequence, ticket_id = lane.call_heap[0]
            entry = self._tickets.get(ticket_id)
            if entry is not None and entry[1] == sequence:
                return
            heapq.heappop(lane.call_heap)

    def _pop_call(self, state: _CustomerState, lane: Lane) -> Ticket:
        self._skip_stale(state.lanes[lane])
        _, _, ticket_id = heapq.heappop(state.lanes[lane].call_heap)
        ticket = self._tickets.pop(ticket_id)[0]
        self._remove_from_totals(ticket, state)
        return ticket

    def _remove_from_totals(self, ticket: Ticket, state: _CustomerState) -> None:
        lane = state.lanes[lane_of(ticket)]
        lane.n_queued -= 1
        lane.tokens_by_urgency[ticket.urgency] -= ticket.expected_tokens
        self._n_waiting_first_calls -= lane_of(ticket)
        if lane.n_queued == 0:
            lane.tokens_by_urgency.clear()
            lane.call_heap.clear()

    def _charge(self, ticket: Ticket, state: _CustomerState) -> None:
        self._virtual_tokens = max(self._virtual_tokens, state.counter)
        state.n_in_flight += 1
        state.counter += ticket.expected_tokens / ticket.weight
        self._push_waiting_customer(ticket.customer, state)
        self._forget_idle()


def lane_of(ticket: Ticket) -> Lane:
    """Return the lane in which a call waits."""
    return Lane.ENTRY if ticket.may_be_held_back else Lane.READY
