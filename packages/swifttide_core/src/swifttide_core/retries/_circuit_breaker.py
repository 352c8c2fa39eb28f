"""Leaving a failing target alone.

Load pattern: a target fails every request, quickly or by timing out, while others
serve the same model.

Without it: each request to it costs a try of its retry budget and up to a timeout
of its program's deadline, until the platform's lagging list takes it out.

Grounds: five failures in a row are a dead target: one that fails one request in ten
shows them once in 100,000. Half of the late results is a sick one. By the share
alone a busy target that died was left alone only after 7 s, since its successes of
the last seconds weighed against it (9.23% of the requests of the outage failed,
docs/measurements-limits.md). One probe at a time, so
that a target that is coming back meets one request and not all that waited. The
pause doubles with each failed probe and has jitter, so that hosts don't probe in
step.
"""

import math

from swifttide_core.retries._breaker_permit import Blocked, BreakerPermit
from swifttide_core.retries._breaker_states import Closed, HalfOpen, Open

CONSECUTIVE_FAILURES_TO_OPEN = 5
"""Failures without a success between them at which it opens."""

MIN_RESULTS = 5.0
"""Results below which their shares say nothing."""

FAILURE_FRACTION_TO_OPEN = 0.5
"""Share of failures at which it opens."""

RESULT_TIME_CONSTANT_SECONDS = 10.0
"""Time constant with which older results fade."""

INITIAL_OPEN_SECONDS = 1.0
"""First pause before a probe."""

MAX_OPEN_SECONDS = 30.0
"""Longest pause before a probe."""


class CircuitBreaker:
    """Breaker in front of one target.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    probe_seconds : float
        Time after which a probe without a result counts as failed: the longest
        that a request to the target may take.
    rng : random.Random
        Source of the jitter.
    """

    def __init__(self, now, probe_seconds, rng):
        self.probe_seconds = probe_seconds
        self.rng = rng
        self.state = Closed(0.0, 0.0, now)
        self._n_permits = 0

    def acquire(self, now: float) -> BreakerPermit | Blocked:
        """Return whether a request may go to the target."""
        self._expire_probe(now)
        match self.state:
            case Closed():
                return self._next_permit()
            case Open(until, n_consecutive_opens) if now >= until:
                probe = self._next_permit()
                probe_expires_at = now + self.probe_seconds
                self.state = HalfOpen(
                    probe.number, probe_expires_at, n_consecutive_opens
                )
                return probe
            case Open(until, _):
                return Blocked(until - now)
            case HalfOpen(_, probe_expires_at, _):
                return Blocked(max(0.0, probe_expires_at - now))

    def report(self, now: float, permit: BreakerPermit, ok: bool) -> None:
        """Count the result of a request; a request that was not sent has none."""
        self._expire_probe(now)
        match self.state:
            case Closed() as closed:
                self._record_result(now, closed, ok)
            case HalfOpen(probe, _, _) if permit.number == probe and ok:
                self.state = Closed(0.0, 0.0, now)
            case HalfOpen(probe, _, n_consecutive_opens) if permit.number == probe:
                self._open(now, n_consecutive_opens + 1)
            case Open() | HalfOpen():
                # A stream that began before the target failed says nothing about
                # it now; believed, it would send all who wait at once.
                pass

    def withdraw(self, now: float, permit: BreakerPermit) -> None:
        """Say that a request was not sent after all; the next may probe."""
        match self.state:
            case HalfOpen(probe, _, n_consecutive_opens) if permit.number == probe:
                self.state = Open(now, n_consecutive_opens)

    def _next_permit(self):
        self._n_permits += 1
        return BreakerPermit(self._n_permits)

    def _record_result(self, now, closed, ok):
        fade = math.exp(
            -max(0.0, now - closed.updated_at) / RESULT_TIME_CONSTANT_SECONDS
        )
        n_ok = closed.n_ok * fade + (1.0 if ok else 0.0)
        n_failed = closed.n_failed * fade + (0.0 if ok else 1.0)
        n_consecutive_failures = 0 if ok else closed.n_consecutive_failures + 1
        self.state = Closed(n_ok, n_failed, now, n_consecutive_failures)
        # Five results within a second fade to just below five.
        n_results = round(n_ok + n_failed)
        is_sick = (
            n_results >= MIN_RESULTS
            and n_failed >= FAILURE_FRACTION_TO_OPEN * n_results
        )
        if is_sick or n_consecutive_failures >= CONSECUTIVE_FAILURES_TO_OPEN:
            self._open(now, 1)

    def _open(self, now, n_consecutive_opens):
        pause = min(
            MAX_OPEN_SECONDS,
            INITIAL_OPEN_SECONDS * 2.0 ** min(n_consecutive_opens - 1, 30),
        )
        self.state = Open(now + pause * self.rng.uniform(0.5, 1.0), n_consecutive_opens)

    def _expire_probe(self, now):
        match self.state:
            case HalfOpen(_, probe_expires_at, n_consecutive_opens) if (
                now >= probe_expires_at
            ):
                # The prober died with its probe: without this the target would
                # stay closed off for good, though it is back.
                self._open(now, n_consecutive_opens + 1)
