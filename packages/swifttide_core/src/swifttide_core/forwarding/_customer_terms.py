"""What a customer may ask for."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class CustomerTerms:
    """A customer of the operator's configuration.

    Parameters
    ----------
    name : str
    keys : tuple of str
        Keys that callers of this customer present; never shown.
    priority : int or None
        Goes before the priority of a route; None leaves the route's.
    rate_per_second, burst : float
        Over all hosts together; a rate of 0 means no limit.
    regions : frozenset of str
        Where its requests may run and be carried, beside what a route says; empty:
        anywhere.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False, default=())
    priority: int | None = None
    rate_per_second: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] = frozenset()
