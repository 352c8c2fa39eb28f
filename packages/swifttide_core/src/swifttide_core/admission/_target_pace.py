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

MAX_KNOWN = 1_024
"""Requests remembered for each target, 8 KB."""

COLD_PART = 0.7
"""Part of the rate that a cold target bears that one keeper uses: two keepers at once,
and the shares of hosts without one, then stay within the bound together."""

WARM_PART = 0.66
"""Part of the bound that a target gets which isn't known to be cold: new keepers and
hosts that find none send beyond it."""

NEW_PART = 0.25
"""Part of its pace that a host uses which hasn't been the keeper for long."""

STANDIN_PART = 0.05
"""Part that all hosts use together which are asked in the keeper's place."""

ALONE_PART = 0.08
"""Part of the bound that all hosts without a keeper use together."""


@dataclass(frozen=True, slots=True)
class KeeperStanding:
    """How sure a host is that no other keeps the same order.

    Parameters
    ----------
    part : float
        Part of a target's pace that it uses.
    """

    part: float

    @classmethod
    def settled(cls) -> "KeeperStanding":
        """Return that of a host which has been the keeper for a while."""
        return cls(1.0)

    @classmethod
    def new(cls) -> "KeeperStanding":
        """Return that of a host whose predecessor may still place requests."""
        return cls(NEW_PART)

    @classmethod
    def standin(cls, n_hosts: int) -> "KeeperStanding":
        """Return that of one of several hosts asked in the keeper's place."""
        return cls(STANDIN_PART / max(1, n_hosts))


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """What a cold target of a service bears.

    Parameters
    ----------
    bears_per_second : float
        Requests that it bears; 0 for a service whose targets are never cold.
    most_per_second : float
        Bound on the requests that reach it in any second, from all hosts.
    """

    bears_per_second: float = 0.0
    most_per_second: float = 0.0

    @property
    def binds(self) -> bool:
        """Whether there is anything to keep to."""
        return self.bears_per_second > 0.0

    def keeper_limit(
        self, is_cold: bool, standing: "KeeperStanding", heard_part: float
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
            return COLD_PART * self.bears_per_second * heard_part * standing.part
        return WARM_PART * self.most_per_second * standing.part

    def host_limit(self, n_hosts: int) -> float:
        """Return the requests a second that a host without a keeper may send."""
        return ALONE_PART * self.most_per_second / max(1, n_hosts)


class TargetPace:
    """Counts what was sent to each target of late.

    Times are monotonic seconds.
    """

    def __init__(self):
        self._sent: dict[str, deque[float]] = {}

    def note(self, target: str, now: float) -> None:
        """Count a request."""
        sent = self._sent.get(target)
        if sent is None:
            sent = self._sent[target] = deque(maxlen=MAX_KNOWN)
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
        most = min(MAX_KNOWN, max(1, int(limit)))
        sent = self._sent.get(target)
        if not sent or len(sent) < most:
            return 0.0
        return max(0.0, sent[-most] + span - now)


@dataclass(frozen=True, slots=True)
class Paced:
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
    def of(cls, pace: TargetPace, limits: Mapping[str, float], now: float) -> "Paced":
        """Return which targets may get a request within their limits."""
        waits = {t: pace.wait_seconds(t, limit, now) for t, limit in limits.items()}
        ready = tuple(t for t, seconds in waits.items() if seconds <= 0.0)
        return cls(ready, min(waits.values(), default=0.0))
