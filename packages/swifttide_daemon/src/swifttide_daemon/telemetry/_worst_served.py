"""Service level of the worst-served customer at this host.

Moving averages of the served ratio and of the program latency are kept per customer;
only the worst of each is reported.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

MAX_CUSTOMERS = 1024
"""Limit of customers with averages; the least recently active are evicted first.

7,900 customers are some 21 per host on 380 hosts, and 790 per host on the present 10
hosts.
"""

SMOOTHING_WEIGHT = 0.2
"""Weight of the newest value; the moving average covers some ten values."""

MIN_REQUESTS = 5
"""Requests of a customer before its served ratio counts.

Otherwise a single refusal of a customer with few requests would be reported as the
worst service.
"""


@dataclass(slots=True)
class _CustomerAverages:
    n_requests: int = 0
    served_ratio: float = 1.0
    latency_seconds: float = 0.0


@dataclass(slots=True)
class WorstServed:
    """Moving averages per customer, of which the worst are reported.

    A series for each customer would add up to 7,900 series on each host. One value
    without a customer label shows that some customer is badly served; the log shows
    which one.
    """

    _customers: OrderedDict[str, _CustomerAverages] = field(default_factory=OrderedDict)

    def record_request(self, customer: str, served: bool) -> None:
        """Update the served ratio with a request within the customer's rate."""
        service = self._averages_of(customer)
        service.n_requests += 1
        step = SMOOTHING_WEIGHT * (float(served) - service.served_ratio)
        service.served_ratio += step

    def record_program(self, customer: str, latency_seconds: float) -> None:
        """Update the average latency with a finished program."""
        service = self._averages_of(customer)
        if service.latency_seconds == 0.0:
            service.latency_seconds = latency_seconds
            return
        step = SMOOTHING_WEIGHT * (latency_seconds - service.latency_seconds)
        service.latency_seconds += step

    @property
    def served_ratio(self) -> float:
        """Smallest served ratio of a customer, over requests within its rate.

        1.0 if no customer has `MIN_REQUESTS` requests yet.
        """
        known = [
            s.served_ratio
            for s in self._customers.values()
            if s.n_requests >= MIN_REQUESTS
        ]
        return min(known, default=1.0)

    @property
    def latency_seconds(self) -> float:
        """Largest average program latency of a customer in seconds, or 0.0."""
        known = [s.latency_seconds for s in self._customers.values()]
        return max(known, default=0.0)

    def _averages_of(self, customer: str) -> _CustomerAverages:
        service = self._customers.setdefault(customer, _CustomerAverages())
        self._customers.move_to_end(customer)
        if len(self._customers) > MAX_CUSTOMERS:
            self._customers.popitem(last=False)
        return service
