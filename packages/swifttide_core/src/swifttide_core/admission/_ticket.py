"""One call that asks for admission at a target."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Ticket:
    """What the queue must know of a call.

    Parameters
    ----------
    ticket_id : str
        Unique at the target; the request id of the call.
    customer : str
        Who pays.
    program : str
        Id of the program.
    weight : float
        Share of the customer against others, from the profile.
    urgency : int
        0 is normal; larger goes first within the customer.
    deadline_at : float
        Time by which the program should be finished; infinite for none.
    expected_tokens : float
        Cost of the call by :func:`call_cost`, with the output that is expected.
    attained_tokens : float
        Cost that the program was served so far; 0 at its first call.
    context_tokens : float
        Length of the history after the call, which the target then holds.
    expected_context_tokens : float
        Length that the history is expected to reach, learned for the profile.
    expected_remaining_seconds : float
        Time that the program is expected to need from this call to its end, tool
        pauses included, learned for the profile; 0 when unknown.
    new_history : bool
        Whether it is the first call of a sub-agent, whose history the target would
        hold beside the parent's.
    offered_at : float
        Time at which the call entered the system, kept when it is offered to
        another target, so that moving loses no place.
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
        """Memory that the program will need in the end, as far as known."""
        return max(self.context_tokens, self.expected_context_tokens)

    @property
    def may_be_held_back(self) -> bool:
        """Whether it may be held back until the target has room for its program."""
        return self.urgency <= 0 and (self.new_history or not self.under_way)

    @property
    def under_way(self) -> bool:
        """Whether a refusal would waste what the program has used so far."""
        return self.attained_tokens > 0


def check_ticket(ticket: Ticket) -> Ticket:
    """Return the ticket when the queue can order it.

    Raises
    ------
    ValueError
        States the field, the expected range and the value found.
    """
    if not ticket.weight > 0:
        raise ValueError(f"weight must be > 0, got {ticket.weight!r}")
    if not ticket.expected_tokens >= 0:
        raise ValueError(
            f"expected_tokens must be >= 0, got {ticket.expected_tokens!r}"
        )
    return ticket
