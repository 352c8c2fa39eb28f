"""Request of one call for admission at a target."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ticket:
    """Properties of a call by which the queue admits and orders it.

    Parameters
    ----------
    ticket_id : str
        Request id of the call, unique at the target.
    customer : str
        Customer who is charged for the call.
    program : str
        Id of the program.
    weight : float
        Weight of the customer in the fair share of the target, from the profile.
    urgency : int
        0 is normal; calls with larger values go first within the customer.
    deadline_at : float
        Time, in monotonic seconds, by which the program should be finished; infinite
        for none.
    expected_tokens : float
        Expected cost of the call, in the units of :func:`call_cost`.
    attained_tokens : float
        Cost of the program's earlier calls; 0 at its first call.
    context_tokens : float
        Length of the program's history after the call, which the target then holds.
    expected_context_tokens : float
        Expected final length of the history, learned for the profile.
    expected_remaining_seconds : float
        Expected time from this call to the end of the program, including pauses for
        tools, learned for the profile; 0 when unknown.
    new_history : bool
        Whether this is the first call of a sub-agent, whose history the target holds
        in addition to that of the parent.
    offered_at : float
        Time at which the call entered the system. It is kept when the call is offered
        to another target, so that the call does not lose its position in the order.
    """

    ticket_id: str
    customer: str
    program: str
    weight: float = 1.0
    urgency: int = 0
    deadline_at: float = math.inf
    expected_tokens: float = 500.0
    attained_tokens: float = 0.0
    offered_at: float = 0.0
    context_tokens: float = 0.0
    expected_context_tokens: float = 0.0
    expected_remaining_seconds: float = 0.0
    new_history: bool = False

    @property
    def final_context_tokens(self) -> float:
        """Expected memory for the program's history at its end, in tokens."""
        return max(self.context_tokens, self.expected_context_tokens)

    @property
    def may_be_held_back(self) -> bool:
        """Whether the call may have to wait for memory for its history at the target.

        True for the first calls of programs and sub-agents, unless they are urgent.
        """
        return self.urgency <= 0 and (self.new_history or not self.is_program_started)

    @property
    def is_program_started(self) -> bool:
        """Whether the program was served before; a refusal would waste that work."""
        return self.attained_tokens > 0


def check_ticket(ticket: Ticket) -> Ticket:
    """Return the ticket if it is valid.

    Raises
    ------
    ValueError
        If a field is out of range; the message names the field, the expected range
        and the value found.
    """
    if not ticket.weight > 0:
        raise ValueError(f"weight must be > 0, got {ticket.weight!r}")
    if not ticket.expected_tokens >= 0:
        raise ValueError(
            f"expected_tokens must be >= 0, got {ticket.expected_tokens!r}"
        )
    return ticket
