"""How many requests a target gets in a second.

Load pattern: targets that have just started, or whose zone was empty, are idle while
all others are busy, so that each new turn of all hosts goes to them.

Without it: they crash under a rate that the others bear, and what they ran is lost.

Grounds: a target may turn cold at any moment, and its entry tells so seconds later. So
each target has a pace at all times, and a lower one while it is known to be cold. The
rates of turns in a fleet that isn't short of targets lie below it.
"""

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

WINDOW_SECONDS = 1.0
"""Span over which requests are counted."""

MAX_RECORDED_REQUESTS = 1_024
"""Requests remembered for each target, 8 KB."""

COLD_SCHEDULER_FRACTION = 0.7
"""Part of the rate that a cold target bears that one keeper uses: two keepers at once,
and the shares of hosts without one, then stay within the bound together."""

WARM_SCHEDULER_FRACTION = 0.66
"""Part of the bound that a target gets which isn't known to be cold: new keepers and
hosts that find none send beyond it."""

NEW_SCHEDULER_FRACTION = 0.25
"""Part of its pace that a host uses which hasn't been the keeper for long."""

SUBSTITUTES_FRACTION = 0.05
"""Part that all hosts use together which are asked in the keeper's place."""

UNSCHEDULED_FRACTION = 0.08
"""Part of the bound that all hosts without a keeper use together."""


@dataclass(frozen=True, slots=True)
class SchedulerStanding:
    """How sure a host is that no other keeps the same order.

    Parameters
    ----------
    part : float
        Part of a target's pace that it uses.
    """

    fraction: float

    @classmethod
    def established(cls) -> "SchedulerStanding":
        """Return that of a host which has been the keeper for a while."""
        return cls(1.0)

    @classmethod
    def newly_elected(cls) -> "SchedulerStanding":
        """Return that of a host whose predecessor may still place requests."""
        return cls(NEW_SCHEDULER_FRACTION)

    @classmethod
    def substitute(cls, n_hosts: int) -> "SchedulerStanding":
        """Return that of one of several hosts asked in the keeper's place."""
        return cls(SUBSTITUTES_FRACTION / max(1, n_hosts))


@dataclass(frozen=True, slots=True)
class ColdTargetLimits:
    """What a cold target of a service bears.

    Parameters
    ----------
    bears_per_second : float
        Requests that it bears; 0 for a service whose targets are never cold.
    most_per_second : float
        Bound on the requests that reach it in any second, from all hosts.
    """

    cold_requests_per_second: float = 0.0
    max_requests_per_second: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is anything to keep to."""
        return self.cold_requests_per_second > 0.0

    def scheduler_limit(
        self, is_cold: bool, standing: "SchedulerStanding", heard_fraction: float
    ) -> float:
        """Return the requests a second that a keeper may send to a target.

        Parameters
        ----------
        is_cold : bool
        standing : KeeperStanding
        heard_part : float
            Part of all hosts that the keeper hears: others may have another keeper.
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
        """Return the requests a second that a host without a keeper may send."""
        return UNSCHEDULED_FRACTION * self.max_requests_per_second / max(1, n_hosts)


class TargetRateLimiter:
    """Counts what was sent to each target of late.

    Times are monotonic seconds.
    """

    def __init__(self):
        self._sent: dict[str, deque[float]] = {}

    def record(self, target: str, now: float) -> None:
        """Count a request."""
        sent = self._sent.get(target)
        if sent is None:
            sent = self._sent[target] = deque(maxlen=MAX_RECORDED_REQUESTS)
        sent.append(now)

    def forget(self, target: str) -> None:
        """Drop what is known of a target that has left."""
        self._sent.pop(target, None)

    def wait_seconds(self, target: str, limit: float, now: float) -> float:
        """Return the seconds until a target may get one more; 0 if it may now.

        Parameters
        ----------
        target : str
        limit : float
            Requests a second.
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
class ReadyTargets:
    """Targets that may get a request now.

    Parameters
    ----------
    targets : tuple of str
    wait_seconds : float
        Until one of the others may; meaningful without targets only.
    """

    targets: tuple[str, ...]
    wait_seconds: float

    @classmethod
    def within_limits(
        cls, limiter: TargetRateLimiter, limits: Mapping[str, float], now: float
    ) -> "ReadyTargets":
        """Return which targets may get a request within their limits."""
        waits = {t: limiter.wait_seconds(t, limit, now) for t, limit in limits.items()}
        ready = tuple(t for t, seconds in waits.items() if seconds <= 0.0)
        return cls(ready, min(waits.values(), default=0.0))
