"""Circuit breaker that stops requests to a failing target.

Load pattern: a target fails every request, immediately or by timeout, while other
targets serve the same model.

Without it, each request to the failing target would cost a retry of its budget and up
to a timeout of its program's deadline, until the delayed target list of the platform
excludes the target.

The breaker opens after five consecutive failures, which indicate a failed target: one
that fails 10% of its requests shows them once in 100,000 requests. It also opens if
half of the recent results are failures. With the failure fraction alone, a busy target
that failed was excluded only after 7 s, since its recent successes weighed against the
failures; 9.23% of the requests of the outage failed (docs/measurements-limits.md).

Only one probe is sent at a time, so that a recovering target gets one request and not
all that are waiting. The delay before a probe doubles with each failed probe and has
jitter, so that hosts do not probe simultaneously.
"""

import math

from swifttide_core.retries._breaker_permit import Blocked, BreakerPermit
from swifttide_core.retries._breaker_states import Closed, HalfOpen, Open

CONSECUTIVE_FAILURES_TO_OPEN = 5
"""Number of consecutive failures at which the breaker opens."""

MIN_RESULTS = 5.0
"""Minimum number of results for which the failure fraction is evaluated."""

FAILURE_FRACTION_TO_OPEN = 0.5
"""Fraction of failures at which the breaker opens."""

RESULT_TIME_CONSTANT_SECONDS = 10.0
"""Time constant of the exponential decay of results."""

INITIAL_OPEN_SECONDS = 1.0
"""Maximum delay before the first probe."""

MAX_OPEN_SECONDS = 30.0
"""Upper bound of the delay before a probe."""


class CircuitBreaker:
    """Circuit breaker of one target.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    probe_timeout_seconds : float
        Time after which a probe without a result counts as failed: the maximum
        duration of a request to the target.
    rng : random.Random
        Random generator for the jitter.
    """

    def __init__(self, now, probe_timeout_seconds, rng):
        self.probe_timeout_seconds = probe_timeout_seconds
        self.rng = rng
        self.state = Closed(0.0, 0.0, now)
        self._n_permits = 0

    def acquire(self, now: float) -> BreakerPermit | Blocked:
        """Return a permit if a request may be sent to the target now."""
        self._expire_probe(now)
        match self.state:
            case Closed():
                return self._next_permit()
            case Open(until, n_consecutive_opens) if now >= until:
                probe = self._next_permit()
                probe_expires_at = now + self.probe_timeout_seconds
                self.state = HalfOpen(
                    probe.number, probe_expires_at, n_consecutive_opens
                )
                return probe
            case Open(until, _):
                return Blocked(until - now)
            case HalfOpen(_, probe_expires_at, _):
                return Blocked(max(0.0, probe_expires_at - now))

    def report(self, now: float, permit: BreakerPermit, ok: bool) -> None:
        """Count the result of a request that was sent."""
        self._expire_probe(now)
        match self.state:
            case Closed() as closed:
                self._record_result(now, closed, ok)
            case HalfOpen(probe, _, _) if permit.number == probe and ok:
                self.state = Closed(0.0, 0.0, now)
            case HalfOpen(probe, _, n_consecutive_opens) if permit.number == probe:
                self._open(now, n_consecutive_opens + 1)
            case Open() | HalfOpen():
                # The result of a stream that began before the target failed does not
                # show its present state. Closing the breaker would release all
                # waiting requests at once.
                pass

    def withdraw(self, now: float, permit: BreakerPermit) -> None:
        """Return an unused permit; the next request may be the probe."""
        match self.state:
            case HalfOpen(probe, _, n_consecutive_opens) if permit.number == probe:
                self.state = Open(now, n_consecutive_opens)

    def _next_permit(self):
        self._n_permits += 1
        return BreakerPermit(self._n_permits)

    def _record_result(self, now, closed, ok):
        decay = math.exp(
            -max(0.0, now - closed.updated_at) / RESULT_TIME_CONSTANT_SECONDS
        )
        n_ok = closed.n_ok * decay + (1.0 if ok else 0.0)
        n_failed = closed.n_failed * decay + (0.0 if ok else 1.0)
        n_consecutive_failures = 0 if ok else closed.n_consecutive_failures + 1
        self.state = Closed(n_ok, n_failed, now, n_consecutive_failures)
        # Five results within a second decay to slightly less than five.
        n_results = round(n_ok + n_failed)
        is_failing = (
            n_results >= MIN_RESULTS
            and n_failed >= FAILURE_FRACTION_TO_OPEN * n_results
        )
        if is_failing or n_consecutive_failures >= CONSECUTIVE_FAILURES_TO_OPEN:
            self._open(now, 1)

    def _open(self, now, n_consecutive_opens):
        max_delay = min(
            MAX_OPEN_SECONDS,
            INITIAL_OPEN_SECONDS * 2.0 ** min(n_consecutive_opens - 1, 30),
        )
        self.state = Open(
            now + max_delay * self.rng.uniform(0.5, 1.0), n_consecutive_opens
        )

    def _expire_probe(self, now):
        match self.state:
            case HalfOpen(_, probe_expires_at, n_consecutive_opens) if (
                now >= probe_expires_at
            ):
                # The sender of the probe failed. Without this, the breaker would stay
                # half open forever, even if the target recovers.
                self._open(now, n_consecutive_opens + 1)
