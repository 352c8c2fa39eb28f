"""Room for further turns at targets, beyond which turns wait at the scheduler.

Load pattern: in a burst all slots are occupied, and hundreds of turns end each second.
A turn that waits at a target can't be overtaken by a more urgent one, while a slot
idles for two messages if none waits there.
"""

from collections.abc import Iterable, Sequence

from swifttide_core.forwarding import TargetEntry
from swifttide_core.scheduling._outstanding_turns import OutstandingTurns

QUEUED_PER_TARGET = 1
"""Turns that may wait at a target beyond its slots, so that a slot doesn't idle for the
time of two messages when a turn ends."""

QUEUED_FRACTION_FOR_CACHED = 0.5
"""Turns that may wait at a target which has their prompt cached, beyond its slots and
as a fraction of them. Reading a long prompt again takes as long as a wait for a slot,
and holds up all other turns of the target."""


class TargetRoom:
    """Room at targets by their outstanding turns.

    Parameters
    ----------
    turns : OutstandingTurns
    """

    def __init__(self, turns: OutstandingTurns):
        self._turns = turns

    def count(self, targets: Iterable[TargetEntry], now: float) -> float:
        """Return how many further turns targets may get together."""
        return sum(self._at(target, now) for target in targets)

    def is_any(self, targets: Iterable[TargetEntry], now: float) -> bool:
        """Return whether any of the targets may get a further turn."""
        return any(self._at(target, now) > 0 for target in targets)

    def with_room(
        self, targets: Sequence[TargetEntry], cached: str, now: float
    ) -> list[TargetEntry]:
        """Return the targets that may get a turn.

        Parameters
        ----------
        targets : sequence of TargetEntry
        cached : str
            Id of the target that has the turn's prompt cached; empty if unknown.
        now : float
            Monotonic seconds.
        """
        return [
            target
            for target in targets
            if self._at(target, now) > 0
            or (target.id == cached and self._is_for_cached(target, now))
        ]

    def is_at_cache(
        self, targets: Iterable[TargetEntry], cached: str, now: float
    ) -> bool:
        """Return whether the target with the cached prompt may get the turn."""
        return any(
            target.id == cached and self._is_for_cached(target, now)
            for target in targets
        )

    def _at(self, target, now) -> float:
        room = target.capacity + QUEUED_PER_TARGET
        return max(0.0, room - self._turns.count(target.id, now))

    def _is_for_cached(self, target, now) -> bool:
        room = target.capacity * (1.0 + QUEUED_FRACTION_FOR_CACHED)
        return self._turns.count(target.id, now) < room
