"""API keys, priority, rate limit and allowed regions of one customer."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class CustomerTerms:
    """Settings of one customer in the operator's configuration.

    Parameters
    ----------
    name : str
    keys : tuple of str
        API keys that authenticate the callers of this customer. They are left out of
        the representation, so that they do not get into logs.
    priority : int or None
        Overrides the priority of the route; None keeps the priority of the route.
    rate_per_second, burst : float
        Rate limit in requests per second and burst in requests, over all hosts
        together. A rate of 0 means no limit.
    regions : frozenset of str
        Regions in which requests may run and through which they may be relayed, in
        addition to the restriction of the route. If empty, there is no restriction.
    """

    name: str
    keys: tuple[str, ...] = field(repr=False, default=())
    priority: int | None = None
    rate_per_second: float = 0.0
    burst: float = 0.0
    regions: frozenset[str] = frozenset()
