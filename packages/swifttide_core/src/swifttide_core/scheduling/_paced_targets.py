"""Targets that may get a request now without exceeding their rate limits."""

from collections.abc import Mapping, Sequence

from swifttide_core.admission import (
    PlacementDeferred,
    ReadyTargets,
    TargetRateLimiter,
)
from swifttide_core.forwarding import TargetEntry


class PacedTargets:
    """Rate limits of the targets of one service; see `TargetRateLimiter`."""

    def __init__(self):
        self._rate_limiter = TargetRateLimiter()

    def ready(
        self,
        targets: Sequence[TargetEntry],
        limits: Mapping[str, float] | None,
        now: float,
    ) -> Sequence[TargetEntry] | PlacementDeferred:
        """Return the targets that may get a request, or when one may.

        Parameters
        ----------
        targets : sequence of TargetEntry
        limits : mapping of str to float or None
            Requests per second that each target may get, by id; None for no limit.
        now : float
            Monotonic seconds.
        """
        if limits is None or not targets:
            return targets
        ready = ReadyTargets.within_limits(
            self._rate_limiter, {t.id: limits[t.id] for t in targets}, now
        )
        if not ready.targets:
            return PlacementDeferred(ready.wait_seconds)
        return [t for t in targets if t.id in ready.targets]

    def is_any_ready(self, limits: Mapping[str, float] | None, now: float) -> bool:
        """Return whether some target may get a request within its limit."""
        return limits is None or bool(
            ReadyTargets.within_limits(self._rate_limiter, limits, now).targets
        )

    def record(self, target: str, now: float) -> None:
        """Count a request that is sent to a target."""
        self._rate_limiter.record(target, now)

    def forget(self, target: str) -> None:
        """Remove the state of a target that has left."""
        self._rate_limiter.forget(target)
