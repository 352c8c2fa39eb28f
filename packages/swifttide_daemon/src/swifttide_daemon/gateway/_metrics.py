"""Prometheus metrics of a gateway: counters, histograms and gauges."""

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

INF = float("inf")
LATENCY_BUCKETS_SECONDS = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, INF)
"""Upper bounds of the histogram buckets. A call to the store takes 0.005 s, a turn (one
model request) 0.2 s, and the deadline of a turn is 4 s."""


class GatewayMetrics:
    """Metrics of a gateway's answers, latencies, store calls and view of the fleet.

    Parameters
    ----------
    host : str
        Id of the host, a label of every series.
    zone : str
        Availability zone of the host, a label of every series.
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
        self._resumed = Counter(
            "swifttide_streams_resumed_total",
            "Attempts to resume a stream at a target, by how its origin was known.",
            labels,
            self._registry,
        )
        self._given_up = Counter(
            "swifttide_readers_given_up_total",
            "Connections of callers aborted because their unread answers filled the "
            "memory budget.",
            labels,
            self._registry,
        )
        self._unusable_rows = Counter(
            "swifttide_unusable_rows_total",
            "Rows of the store that couldn't be used, by table; each fault once.",
            labels,
            self._registry,
        )
        self._failed_tasks = Counter(
            "swifttide_background_failures_total",
            "Unexpected failures of background tasks, which were restarted, by task.",
            labels,
            self._registry,
        )

        self._stalls = Histogram(
            "swifttide_stall_seconds",
            "Times for which the process stood still.",
            labels,
            self._registry,
            buckets=LATENCY_BUCKETS_SECONDS,
        )

    def answered(self, status: int, reason: str) -> None:
        """Count an answer to a caller."""
        self._requests.inc({"status": str(status), "reason": reason})

    def hop(self, name: str, seconds: float) -> None:
        """Record the time that a request spent in a processing step."""
        self._hops.observe({"hop": name}, max(0.0, seconds))

    def store_call(self, call: str, outcome: str, seconds: float) -> None:
        """Record the duration of a call to the store."""
        self._store.observe({"call": call, "outcome": outcome}, seconds)

    def set_belief(self, what: str, value: float) -> None:
        """Set the gauge for one value of this host's view, such as ``targets``."""
        self._beliefs.set({"belief": what}, value)

    def stream_resumed(self, source: str) -> None:
        """Count an attempt to resume a stream at a target.

        Parameters
        ----------
        source : str
            How the software that began the stream was known.
        """
        self._resumed.inc({"source": source})

    def reader_given_up(self) -> None:
        """Count a caller whose connection was aborted to release memory."""
        self._given_up.inc({})

    def row_unusable(self, table: str) -> None:
        """Count a row of the store that couldn't be used."""
        self._unusable_rows.inc({"table": table})

    def stalled(self, seconds: float) -> None:
        """Record a time for which the process stood still."""
        self._stalls.observe({}, seconds)

    def background_failure(self, task: str) -> None:
        """Count an unexpected failure of a background task."""
        self._failed_tasks.inc({"task": task})

    def render(self) -> tuple[bytes, str]:
        """Return all series in the text format, and the content type."""
        return text.TextFormatter().marshall(self._registry), text.TEXT_CONTENT_TYPE
