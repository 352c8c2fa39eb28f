"""Order of waiting calls: customers by virtual token counter, then by score.

Load pattern: one customer sends several times its rate, or programs of a hundred
calls, while others send a call now and then. First come first served gives the
engine to whoever sends most; counting calls instead of tokens gives it to
whoever sends the longest calls.

Each customer has a counter of tokens served over its weight, and the smallest
counter goes next. A customer that comes back from a pause starts at the present
counter, so that silence saves up no claim. Expected tokens are charged at the start
and corrected at the end.

References
----------
.. [1] Y. Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024.
.. [2] P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.

Notes
-----
A heap of calls for each customer and a heap of customers: push, pop and withdraw cost
O(log n) amortised. Entries that are out of date are skipped when they reach the top.
"""

import heapq
import itertools
from dataclasses import dataclass, field

from swifttide_core.admission._ticket import Ticket


@dataclass(slots=True)
class _CustomerState:
    counter: float
    calls: list[tuple[float, int, str]] = field(default_factory=list)
    queued_tokens: dict[int, float] = field(default_factory=dict)
    n_queued: int = 0
    n_in_flight: int = 0
    weight: float = 1.0
    stamp: int = 0


class FairQueue:
    """Waiting calls of one target in the order in which they go next.

    Attributes
    ----------
    active_weight : float
        Sum of the weights of customers with waiting or running calls.
    """

    def __init__(self) -> None:
        self._customers: dict[str, _CustomerState] = {}
        self._order: list[tuple[float, int, str]] = []
        self._idle: list[tuple[float, str]] = []
        self._tickets: dict[str, tuple[Ticket, int]] = {}
        self._sequence = itertools.count()
        self._virtual_now = 0.0
        self.active_weight = 0.0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._tickets)

    def __contains__(self, ticket_id: str) -> bool:
        """Return whether the call waits."""
        return ticket_id in self._tickets

    @property
    def n_customers(self) -> int:
        """Customers that are remembered."""
        return len(self._customers)

    def push(self, ticket: Ticket, score: float) -> None:
        """Add a call.

        Parameters
        ----------
        ticket : Ticket
            The call.
        score : float
            Smaller goes first within the customer.
        """
        state = self._activate(ticket)
        sequence = next(self._sequence)
        heapq.heappush(state.calls, (score, sequence, ticket.ticket_id))
        self._tickets[ticket.ticket_id] = (ticket, sequence)
        level = ticket.urgency
        tokens = state.queued_tokens.get(level, 0.0)
        state.queued_tokens[level] = tokens + ticket.expected_tokens
        state.n_queued += 1
        if state.n_queued == 1:
            self._place(ticket.customer, state)

    def pop(self) -> Ticket | None:
        """Take the call that goes next and charge its customer."""
        while self._order:
            _, stamp, name = self._order[0]
            state = self._customers.get(name)
            if state is None or stamp != state.stamp or state.n_queued == 0:
                heapq.heappop(self._order)
                continue
            ticket = self._pop_call(state)
            self._charge(ticket, state)
            return ticket
        return None

    def withdraw(self, ticket_id: str) -> Ticket | None:
        """Remove a waiting call; return None when it does not wait."""
        entry = self._tickets.pop(ticket_id, None)
        if entry is None:
            return None
        ticket = entry[0]
        state = self._customers[ticket.customer]
        self._uncount(ticket, state)
        self._deactivate(ticket.customer, state)
        return ticket

    def start(self, ticket: Ticket) -> None:
        """Charge a call that never waited."""
        self._charge(ticket, self._activate(ticket))

    def finish(self, ticket: Ticket, tokens: float) -> None:
        """Correct the charge of a call that ended.

        Parameters
        ----------
        ticket : Ticket
            The call.
        tokens : float
            Tokens that were really computed.
        """
        state = self._customers[ticket.customer]
        state.n_in_flight -= 1
        state.counter += (tokens - ticket.expected_tokens) / ticket.weight
        if state.n_queued:
            self._place(ticket.customer, state)
        self._deactivate(ticket.customer, state)

    def tokens_ahead(self, ticket: Ticket) -> float:
        """Return the customer's waiting tokens of the same or a higher urgency."""
        state = self._customers.get(ticket.customer)
        if state is None:
            return 0.0
        return sum(
            tokens
            for urgency, tokens in state.queued_tokens.items()
            if urgency >= ticket.urgency
        )

    def share(self, ticket: Ticket) -> float:
        """Return the part of the target that the customer gets, in (0, 1]."""
        state = self._customers.get(ticket.customer)
        others = self.active_weight
        if state is not None and state.n_queued + state.n_in_flight:
            others -= state.weight
        return ticket.weight / (ticket.weight + max(0.0, others))

    def tickets(self) -> tuple[Ticket, ...]:
        """Return the waiting calls in the order in which they came."""
        return tuple(ticket for ticket, _ in self._tickets.values())

    def _activate(self, ticket: Ticket) -> _CustomerState:
        state = self._customers.get(ticket.customer)
        if state is None:
            state = _CustomerState(counter=self._virtual_now)
            self._customers[ticket.customer] = state
        if state.n_queued + state.n_in_flight == 0:
            state.weight = ticket.weight
            self.active_weight += ticket.weight
        if state.n_queued == 0:
            state.counter = max(state.counter, self._virtual_now)
        return state

    def _deactivate(self, name: str, state: _CustomerState) -> None:
        if state.n_queued + state.n_in_flight:
            return
        self.active_weight = max(0.0, self.active_weight - state.weight)
        heapq.heappush(self._idle, (state.counter, name))
        self._forget_idle()

    def _forget_idle(self) -> None:
        while self._idle and self._idle[0][0] <= self._virtual_now:
            _, name = heapq.heappop(self._idle)
            state = self._customers.get(name)
            if state is None or state.n_queued + state.n_in_flight:
                continue
            if state.counter <= self._virtual_now:
                del self._customers[name]

    def _place(self, name: str, state: _CustomerState) -> None:
        state.stamp = next(self._sequence)
        heapq.heappush(self._order, (state.counter, state.stamp, name))

    def _pop_call(self, state: _CustomerState) -> Ticket:
        while True:
            _, sequence, ticket_id = heapq.heappop(state.calls)
            entry = self._tickets.get(ticket_id)
            if entry is None or entry[1] != sequence:
                continue
            del self._tickets[ticket_id]
            self._uncount(entry[0], state)
            return entry[0]

    def _uncount(self, ticket: Ticket, state: _CustomerState) -> None:
        state.n_queued -= 1
        level = ticket.urgency
        state.queued_tokens[level] -= ticket.expected_tokens
        if state.n_queued == 0:
            state.queued_tokens.clear()
            state.calls.clear()

    def _charge(self, ticket: Ticket, state: _CustomerState) -> None:
        self._virtual_now = max(self._virtual_now, state.counter)
        state.n_in_flight += 1
        state.counter += ticket.expected_tokens / ticket.weight
        if state.n_queued:
            self._place(ticket.customer, state)
        self._forget_idle()
