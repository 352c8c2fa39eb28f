"""Limits on the requests per second that are sent to each target.

A target is cold for a while after it has started, or after operators had emptied its
zone of traffic. Cold targets are idle while all others are busy, so all hosts would
send their new turns to them. They crash under a rate that warm targets sustain, and the
requests that they run are lost.

A target can become cold at any moment, and its entry in the target list shows this only
seconds later. Each target therefore has a rate limit at all times, and a lower one
while it is known to be cold. In a fleet with enough targets the rates stay below the
limits.

One host, the scheduler, places all turns of a service. The limits are divided such that
the hosts that may send at the same time stay within the maximum together: the
scheduler, its successor, hosts that are asked in its place, and hosts that reach no
scheduler.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

WINDOW_SECONDS = 1.0
"""Length of the sliding window over which requests are counted."""

MAX_RECORDED_REQUESTS = 1_024
"""Number of requests whose times are kept for each target, 8 KB."""

COLD_SCHEDULER_FRACTION = 0.7
"""Fraction of the rate sustained by a cold target that one scheduler uses. Two
schedulers at the same time and the hosts without one then stay within the maximum
together."""

WARM_SCHEDULER_FRACTION = 0.66
"""Fraction of the maximum rate that the scheduler uses for a target that isn't known to
be cold. New schedulers and hosts without one send in addition to it."""

NEW_SCHEDULER_FRACTION = 0.25
"""Fraction of a scheduler's limit that a host uses shortly after it became the
scheduler."""

SUBSTITUTES_FRACTION = 0.05
"""Fraction of a scheduler's limit that is divided among all hosts that may be asked in
place of the scheduler."""

UNSCHEDULED_FRACTION = 0.08
"""Fraction of the maximum rate that all hosts without a scheduler use together."""


@dataclass(frozen=True, slots=True)
class SchedulerStanding:
    """Certainty of a host that no other host schedules the same service.

    Parameters
    ----------
    fraction : float
        Fraction of a scheduler's rate limit that the host may use.
    """

    fraction: float

    @classmethod
    def established(cls) -> "SchedulerStanding":
        """Return the standing of a host that has been the scheduler for a while."""
        return cls(1.0)

    @classmethod
    def newly_elected(cls) -> "SchedulerStanding":
        """Return the standing of a host whose predecessor may still place requests."""
        return cls(NEW_SCHEDULER_FRACTION)

    @classmethod
    def substitute(cls, n_hosts: int) -> "SchedulerStanding":
        """Return the standing of one of several hosts asked in the scheduler's place.

        Parameters
        ----------
        n_hosts : int
            Number of these hosts.
        """
        return cls(SUBSTITUTES_FRACTION / max(1, n_hosts))


@dataclass(frozen=True, slots=True)
class ColdTargetLimits:
    """Request rates that a cold target of a service sustains.

    Parameters
    ----------
    cold_requests_per_second : float
        Rate that a cold target sustains; 0 for a service whose targets are never cold.
    max_requests_per_second : float
        Upper bound of the requests that reach a target in any second, from all hosts.
    """

    cold_requests_per_second: float = 0.0
    max_requests_per_second: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the targets of the service can be cold, so that limits apply."""
        return self.cold_requests_per_second > 0.0

    def scheduler_limit(
        self, is_cold: bool, standing: "SchedulerStanding", heard_fraction: float
    ) -> float:
        """Return the requests per second that a scheduler may send to a target.

        Parameters
        ----------
        is_cold : bool
            Whether the target is known to be cold.
        standing : SchedulerStanding
        heard_fraction : float
            Fraction of all hosts from which the scheduler gets messages; in a network
            partition the others may have another scheduler.
        """
        if is_cold:
            return (
                COLD_SCHEDULER_FRACTION
                * self.cold_requests_per_second
                * heard_fraction
                * standing.fraction
            )
        return (
            WARM_SCHEDULER_FRACTION * self.max_requests_per_second * standing.fraction
        )

    def unscheduled_host_limit(self, n_hosts: int) -> float:
        """Return the requests per second that a host without a scheduler may send."""
        return UNSCHEDULED_FRACTION * self.max_requests_per_second / max(1, n_hosts)


class TargetRateLimiter:
    """Sliding-window rate limiter for the requests to each target.

    All times named ``now`` are monotonic seconds.
    """

    def __init__(self):
        self._sent: dict[str, deque[float]] = {}

    def record(self, target: str, now: float) -> None:
        """Record a request that is sent to a target."""
        sent = self._sent.get(target)
        if sent is None:
            sent = self._sent[target] = deque(maxlen=MAX_RECORDED_REQUESTS)
        sent.append(now)

    def forget(self, target: str) -> None:
        """Remove the records of a target that was removed."""
        self._sent.pop(target, None)

    def wait_seconds(self, target: str, limit: float, now: float) -> float:
        """Return the seconds until a target may get another request; 0 if it may now.

        Parameters
        ----------
        target : str
        limit : float
            Requests per second; infinite seconds are returned for 0.
        now : float
        """
        if limit <= 0.0:
            return math.inf
        span = max(WINDOW_SECONDS, 1.0 / limit)
        most = min(MAX_RECORDED_REQUESTS, max(1, int(limit)))
        sent = self._sent.get(target)
        if not sent or len(sent) < most:
            return 0.0
        return max(0.0, sent[-most] + span - now)


@dataclass(frozen=True, slots=True)
class PlacementDeferred:
    """No target may get another request now without exceeding its rate limit.

    Parameters
    ----------
    retry_seconds : float
        Time until a target may get another request.
    """

    retry_seconds: float


@dataclass(frozen=True, slots=True)
class ReadyTargets:
    """Targets that may get a request now.

    Parameters
    ----------
    targets : tuple of str
        Ids of these targets.
    wait_seconds : float
        Time until the first target may get a request; 0 if there is one now.
    """

    targets: tuple[str, ...]
    wait_seconds: float

    @classmethod
    def within_limits(
        cls, limiter: TargetRateLimiter, limits: Mapping[str, float], now: float
    ) -> "ReadyTargets":
        """Return the targets that may get a request within their limits.

        Parameters
        ----------
        limiter : TargetRateLimiter
        limits : mapping of str to float
            Requests per second that each target may get.
        now : float
        """
        waits = {t: limiter.wait_seconds(t, limit, now) for t, limit in limits.items()}
        ready = tuple(t for t, seconds in waits.items() if seconds <= 0.0)
        return cls(ready, min(waits.values(), default=0.0))
