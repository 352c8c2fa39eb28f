"""What became of the requests of a run."""

from dataclasses import dataclass, field


@dataclass(slots=True)
class Outcome:
    """Results of one policy on one scenario.

    Attributes
    ----------
    admitted : list of bool
        One for each arrival, in their order.
    admitted_at : dict of str to list of float
        Moments at which a customer's requests were admitted.
    n_messages : int
        Questions to other hosts.
    waited_seconds : float
        Sum of what the requests waited for the decision.
    n_moves : int
        Writes to the platform's ``shares`` rows.
    """

    admitted: list[bool]
    admitted_at: dict[str, list[float]] = field(default_factory=dict)
    n_messages: int = 0
    waited_seconds: float = 0.0
    n_moves: int = 0

    def admit(self, index: int, at: float, customer: str) -> None:
        """Note that an arrival was admitted."""
        self.admitted[index] = True
        self.admitted_at.setdefault(customer, []).append(at)
