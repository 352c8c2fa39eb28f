"""Metrics of one host in the Prometheus text format.

They cover the four measures of service that users see, each decision about a request,
and gauges of the state of the host.
"""

import threading
from collections.abc import Callable

from aioprometheus.collectors import Collector, Counter, Gauge, Histogram, Registry
from aioprometheus.formats import text

from swifttide_core.verdicts import Reason, Verdict
from swifttide_daemon.settings import Settings
from swifttide_daemon.telemetry._series import Series
from swifttide_daemon.telemetry._worst_served import WorstServed

INF = float("inf")
PROGRAM_BUCKETS_SECONDS = (1.0, 5.0, 15.0, 60.0, 300.0, 900.0, 3600.0, INF)
"""Bucket bounds of program latencies; a program of 84 turns takes minutes."""

WAIT_BUCKETS_SECONDS = (0.005, 0.02, 0.076, 0.25, 0.76, 2.0, 5.0, 15.0, INF)
"""Bucket bounds of waits; 0.76 s is the target for the first token, 0.076 s a tenth."""

TOKEN_GAP_BUCKETS_SECONDS = (0.02, 0.04, 0.072, 0.15, 0.5, 2.0, INF)
"""Bucket bounds of gaps between tokens; the objective is 0.072 s."""

FLEET_REASONS = frozenset(
    {
        Reason.QUEUE_FULL,
        Reason.DEADLINE,
        Reason.NO_TARGET,
        Reason.TARGET_FAILED,
        Reason.PLATFORM_UNAVAILABLE,
        Reason.NOT_HOLDER,
        Reason.STOPPING,
        Reason.TIMEOUT,
        Reason.INTERNAL,
    }
)
"""Refusal reasons that are caused by the fleet, not by the request.

Refusing an invalid body, an exhausted budget or a revoked key is correct whatever the
customer's rate.
"""

LEASE_STATES = ("held", "lapsed", "released")

CONTENT_TYPE = text.TEXT_CONTENT_TYPE


class Metrics:
    """Counters, histograms and gauges of one host.

    Parameters
    ----------
    host : str
        Id of the host, which is a label of every series.
    zone : str
        Availability zone of the host, also a label of every series.

    Notes
    -----
    Rendering needs no event loop: the registry and the text format of aioprometheus
    are used without its asyncio service. `on_render` registers functions that set
    gauges just before a scrape, so that gauges of queues add no cost to requests.
    """

    def __init__(self, host: str, zone: str):
        self._labels = {"host": host, "zone": zone}
        self._lock = threading.Lock()
        self._registry = Registry()
        self._before_render: list[Callable[[], None]] = []
        self._worst = WorstServed()
        self._create_outcomes()
        self._create_decisions()
        self._create_states()

    @classmethod
    def from_settings(cls, cfg: Settings) -> "Metrics":
        """Create the metrics of a host."""
        return cls(cfg.host, cfg.zone)

    def admit(self, customer: str, target: str, queued_seconds: float) -> None:
        """Count a request that was admitted to a target."""
        self._admitted.add(target=target)
        self._queued.add(float(queued_seconds), target=target)
        with self._lock:
            self._worst.record_request(customer, served=True)

    def refuse(
        self, customer: str, reason: Reason, verdict: Verdict, within_rate: bool
    ) -> None:
        """Count a refusal.

        Parameters
        ----------
        customer : str
            Customer of the request; empty if no key identified it.
        reason, verdict
            Reason and verdict that were sent to the caller.
        within_rate : bool
            Whether the customer was within its rate. If so, and if the reason is
            one of `FLEET_REASONS`, the refusal counts as wrongful.
        """
        self._refused.add(reason=str(reason), verdict=str(verdict))
        if not within_rate or reason not in FLEET_REASONS:
            return
        self._wrongful.add(reason=str(reason))
        if customer:
            with self._lock:
                self._worst.record_request(customer, served=False)

    def end_program(self, customer: str, profile: str, latency_seconds: float) -> None:
        """Count a finished program; latency is from first call to last response."""
        self._program_latency.add(float(latency_seconds), profile=profile)
        with self._lock:
            self._worst.record_program(customer, latency_seconds)

    def waste_cache(self, tokens: int, cause: str) -> None:
        """Count prompt tokens that are recomputed although a target had cached them."""
        self._wasted.add(tokens, cause=cause)

    def retry(self, at: str) -> None:
        """Count a retry of a request, ``at`` target, peer or platform."""
        self._retries.add(at=at)

    def observe_first_token(self, seconds: float) -> None:
        """Observe the time from a request's arrival to its first token."""
        self._first_token.add(float(seconds))

    def observe_token_gap(self, seconds: float) -> None:
        """Observe the longest gap between two tokens of a stream."""
        self._token_gap.add(float(seconds))

    def observe_platform(self, operation: str, seconds: float, ok: bool) -> None:
        """Observe one call to the platform."""
        outcome = "ok" if ok else "failed"
        self._platform.add(float(seconds), operation=operation, outcome=outcome)

    def set_lease(self, state: str) -> None:
        """Set the state of the host's lease, one of `LEASE_STATES`."""
        for known in LEASE_STATES:
            self._lease.set(int(known == state), state=known)

    def set_config_version(self, version: int) -> None:
        """Set the version of the configuration that this host applies."""
        self._config_version.set(version)

    def set_slots_held(self, n_slots: int) -> None:
        """Set the number of slots that this host holds."""
        self._slots.set(n_slots)

    def set_queue(self, target: str, n_requests: int) -> None:
        """Set the number of requests that wait for a target."""
        self._queue.set(n_requests, target=target)

    def set_cache_held(self, target: str, n_bytes: int) -> None:
        """Set the bytes of cache that programs of this host hold at a target."""
        self._cache.set(n_bytes, target=target)

    def on_render(self, callback: Callable[[], None]) -> None:
        """Register a function to call before each scrape."""
        self._before_render.append(callback)

    def render(self) -> tuple[bytes, str]:
        """Return the body of ``/metrics`` and its content type."""
        for callback in self._before_render:
            callback()
        with self._lock:
            ratio = self._worst.served_ratio
            latency = self._worst.latency_seconds
        self._worst_ratio.set(ratio)
        self._worst_latency.set(latency)
        with self._lock:
            return text.TextFormatter().marshall(self._registry), CONTENT_TYPE

    def _create_outcomes(self) -> None:
        self._program_latency = self._histogram(
            "swifttide_program_latency_seconds",
            "From a program's first call to its last answer, by profile.",
            PROGRAM_BUCKETS_SECONDS,
        )
        self._wasted = self._counter(
            "swifttide_wasted_cache_tokens_total",
            "Prompt tokens computed again that a target had held, by cause.",
        )
        self._worst_ratio = self._gauge(
            "swifttide_worst_customer_served_ratio",
            "Smallest share of a customer's requests within its rate served here.",
        )
        self._worst_latency = self._gauge(
            "swifttide_worst_customer_program_latency_seconds",
            "Largest average program latency of a customer here.",
        )
        self._wrongful = self._counter(
            "swifttide_wrongful_refusals_total",
            "Requests refused although inside the customer's rate, by reason.",
        )
        self._first_token = self._histogram(
            "swifttide_first_token_seconds",
            "From a request's arrival to its first token.",
            WAIT_BUCKETS_SECONDS,
        )
        self._token_gap = self._histogram(
            "swifttide_longest_token_gap_seconds",
            "Longest gap between two tokens of a stream.",
            TOKEN_GAP_BUCKETS_SECONDS,
        )

    def _create_decisions(self) -> None:
        self._admitted = self._counter(
            "swifttide_admitted_total", "Requests let through, by target."
        )
        self._queued = self._histogram(
            "swifttide_queued_seconds",
            "Wait of admitted requests, by target.",
            WAIT_BUCKETS_SECONDS,
        )
        self._refused = self._counter(
            "swifttide_refused_total", "Refusals, by reason and verdict."
        )
        self._retries = self._counter(
            "swifttide_retries_total", "Further tries of a request, by place."
        )
        self._platform = self._histogram(
            "swifttide_platform_seconds",
            "Calls to the platform, by operation and outcome.",
            WAIT_BUCKETS_SECONDS,
        )

    def _create_states(self) -> None:
        self._lease = self._gauge(
            "swifttide_lease_state", "1 for the state of the host's lease."
        )
        self._slots = self._gauge("swifttide_slots_held", "Slots held by this host.")
        self._config_version = self._gauge(
            "swifttide_config_version", "Version of the configuration in force here."
        )
        self._queue = self._gauge(
            "swifttide_queue_requests", "Requests waiting, by target."
        )
        self._cache = self._gauge(
            "swifttide_cache_held_bytes", "Cache held by programs, by target."
        )

    def _counter(self, name: str, doc: str) -> Series:
        return self._series(Counter(name, doc, self._labels, self._registry))

    def _gauge(self, name: str, doc: str) -> Series:
        return self._series(Gauge(name, doc, self._labels, self._registry))

    def _histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> Series:
        collector = Histogram(name, doc, self._labels, self._registry, buckets=buckets)
        return self._series(collector)

    def _series(self, collector: Collector) -> Series:
        return Series(collector, self._lock)
