"""Software versions of a service's targets, as all hosts have seen them."""

from collections.abc import Set
from dataclasses import dataclass, field, replace

STREAM_AGE_TIMEOUTS = 12.0
"""Age of the oldest stream that is resumed, in time-outs of its route: a caller makes a
few attempts in each of three rounds, and each attempt lasts for a time-out at most."""


@dataclass(frozen=True, slots=True)
class ServiceVersions:
    """Versions at which streams of a service may have begun; times are of the store.

    Parameters
    ----------
    since_ms : int
        Time from which on all versions are known.
    timeout_seconds : float
        Longest time-out that a route to the service has had since then.
    left_ms : dict of str to int or None
        For each version, the time at which its last target left; None if it has some.
    """

    since_ms: int
    timeout_seconds: float = 0.0
    left_ms: dict[str, int | None] = field(default_factory=dict)

    def updated(
        self, serving: Set[str], timeout_seconds: float, now_ms: int
    ) -> "ServiceVersions":
        """Return the versions after a look at the targets.

        Versions that left so long ago that no stream of theirs is resumed are dropped.

        Parameters
        ----------
        serving : set of str
            Versions of the targets that there are.
        timeout_seconds : float
            Longest time-out of the routes to the service.
        now_ms : int
        """
        timeout = max(self.timeout_seconds, timeout_seconds)
        forgotten_ms = now_ms - 1000.0 * STREAM_AGE_TIMEOUTS * timeout
        left: dict[str, int | None] = {
            version: now_ms if at is None else at
            for version, at in self.left_ms.items()
            if version not in serving and (at is None or at > forgotten_ms)
        }
        left |= dict.fromkeys(serving)
        return replace(self, timeout_seconds=timeout, left_ms=left)

    def differs(self, serving: Set[str], timeout_seconds: float) -> bool:
        """Return whether other targets or a longer time-out are to be noted."""
        known = {version for version, at in self.left_ms.items() if at is None}
        return known != serving or timeout_seconds > self.timeout_seconds
