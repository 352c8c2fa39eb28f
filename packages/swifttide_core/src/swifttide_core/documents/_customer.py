"""The customer: who pays, and how much it may send."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Customer:
    """Rate and burst of a customer over all hosts together.

    Parameters
    ----------
    name : str
        Id of the customer.
    rate_per_second : float
        Requests admitted a second in the long run.
    burst : float
        Requests admitted at once after a quiet spell.
    """

    name: str
    rate_per_second: float = 10.0
    burst: float = 20.0
