"""Rank, customer and route of a piece of work, by which scheduling decisions differ."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class WorkClass:
    """Class to which a program or a turn belongs.

    Parameters
    ----------
    rank : int
        Priority, of which 0 is the most urgent.
    customer : str
        Name of the customer; empty where requests need no API key.
    route : str
        Name of the route.
    weight : float
        Share of the customer relative to others of its rank; its rate limit.
    """

    rank: int = 0
    customer: str = ""
    route: str = ""
    weight: float = 1.0
