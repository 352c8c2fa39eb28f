"""How the worst-served customer fares at this host."""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_CUSTOMERS = 1024
"""Customers remembered; those silent for longest are forgotten first. 7,900
customers over 380 hosts are some 21 a host, and 790 over the 10 hosts of today."""

SMOOTHING_WEIGHT = 0.2
"""Weight of the newest request: the average covers some ten requests."""

MIN_REQUESTS = 5
"""A single refusal of a rare customer would else count as the worst service."""


@dataclass(slots=True)
class _CustomerAverages:
    n_requests: int = 0
    served_ratio: float = 1.0
    latency_seconds: float = 0.0


@dataclass(slots=True)
class WorstServed:
    """Moving averages of each customer, of which the worst is reported.

    A series for each customer would grow to 7,900 series at each host; one number
    that names nobody says whether somebody fares badly, and the log says who.
    """

    _customers: OrderedDict[str, _CustomerAverages] = field(default_factory=OrderedDict)

    def record_request(self, customer: str, served: bool) -> None:
        """Count a request that was within the customer's rate."""
        service = self._averages_of(customer)
        service.n_requests += 1
        step = SMOOTHING_WEIGHT * (float(served) - service.served_ratio)
        service.served_ratio += step

    def record_program(self, customer: str, latency_seconds: float) -> None:
        """Count a program that ended, with its latency."""
        service = self._averages_of(customer)
        if service.latency_seconds == 0.0:
            service.latency_seconds = latency_seconds
            return
        step = SMOOTHING_WEIGHT * (latency_seconds - service.latency_seconds)
        service.latency_seconds += step

    @property
    def served_ratio(self) -> float:
        """Smallest share of requests within the rate that were served."""
        known = [
            s.served_ratio
            for s in self._customers.values()
            if s.n_requests >= MIN_REQUESTS
        ]
        return min(known, default=1.0)

    @property
    def latency_seconds(self) -> float:
        """Largest average latency of programs."""
        known = [s.latency_seconds for s in self._customers.values()]
        return max(known, default=0.0)

    def _averages_of(self, customer: str) -> _CustomerAverages:
        service = self._customers.setdefault(customer, _CustomerAverages())
        self._customers.move_to_end(customer)
        if len(self._customers) > MAX_CUSTOMERS:
            self._customers.popitem(last=False)
        return service
