"""Counters and histograms of a gateway."""

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

INF = float("inf")
LATENCY_BUCKETS_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, INF)
"""Seconds; a call of the store takes 0.005, a turn 0.2, and 4 is a turn's deadline."""


class GatewayMetrics:
    """Counts what a gateway decided.

    Parameters
    ----------
    host : str
        Id of the host, a label of every series.
    zone : str
        Its availability zone, likewise.
    """

    def __init__(self, host: str, zone: str):
        labels = {"host": host, "zone": zone}
        self._registry = Registry()
        self._requests = Counter(
            "swifttide_requests_total",
            "Requests answered, by status and reason.",
            labels,
            self._registry,
        )
        self._hops = Histogram(
            "swifttide_hop_seconds",
            "Time of a request in each hop: rate, admission, target, whole.",
            labels,
            self._registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )
        self._store = Histogram(
            "swifttide_store_seconds",
            "Calls to the store, by call and outcome.",
            labels,
            self._registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )
        self._beliefs = Gauge(
            "swifttide_beliefs",
            "What the host believes: version in force, targets, peers, rate share.",
            labels,
            self._registry,
        )

    def answered(self, status: int, reason: str) -> None:
        """Count an answer to a caller."""
        self._requests.inc({"status": str(status), "reason": reason})

    def hop(self, name: str, seconds: float) -> None:
        """Observe a request's time in a hop."""
        self._hops.observe({"hop": name}, max(0.0, seconds))

    def store_call(self, call: str, outcome: str, seconds: float) -> None:
        """Observe a call to the store."""
        self._store.observe({"call": call, "outcome": outcome}, seconds)

    def set_belief(self, what: str, value: float) -> None:
        """Set a belief's value."""
        self._beliefs.set({"belief": what}, value)

    def render(self) -> tuple[bytes, str]:
        """Return all series as text, and its content type."""
        return text.TextFormatter().marshall(self._registry), text.TEXT_CONTENT_TYPE
