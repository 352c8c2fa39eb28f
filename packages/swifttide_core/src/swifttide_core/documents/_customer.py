"""Customer document: the party that is charged, and its rate limit."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Customer:
    """Rate limit of a customer, for the requests to all hosts together.

    Parameters
    ----------
    name : str
        Id of the customer.
    rate_per_second : float
        Long-term rate of admitted requests per second.
    burst : float
        Number of requests that are admitted at once after a period without requests.
    """

    name: str
    rate_per_second: float = 10.0
    burst: float = 20.0
