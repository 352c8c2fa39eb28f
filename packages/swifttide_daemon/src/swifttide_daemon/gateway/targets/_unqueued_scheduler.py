"""Scheduler without a queue, behind the interface of a scheduler with one.

It serves until `swifttide_core.scheduling` has a `TurnScheduler`: programs that don't
fit are refused, and turns go to the target with the lowest cost even if it is full.
"""

from collections.abc import Callable, Mapping, Sequence

from swifttide_core.admission import (
    PlacementDeferred,
    ProgramAdmitted,
    ProgramRefused,
    TurnScheduler,
)
from swifttide_core.admission import PlacementRequest as UnrankedPlacementRequest
from swifttide_core.forwarding import TargetEntry
from swifttide_core.scheduling import (
    PlacementRequest,
    ProgramRequest,
    TurnId,
    TurnResult,
)


class UnqueuedTurnScheduler:
    """Adapts `swifttide_core.admission.TurnScheduler`; nothing waits at it.

    Parameters
    ----------
    now : float
        Current time in monotonic seconds, as in all methods.
    reported_outstanding : callable
        Takes a target's id and returns the number of outstanding requests there that
        other hosts have reported.
    """

    def __init__(self, now: float, reported_outstanding: Callable[[str], float]):
        self._scheduler = TurnScheduler(now, reported_outstanding)

    def admit_program(
        self,
        request: ProgramRequest,
        targets: Sequence[TargetEntry],
        capacity: int,
        now: float,
        limits: Mapping[str, float] | None = None,
    ) -> ProgramAdmitted | ProgramRefused:
        """Admit or refuse a program."""
        ids = [t.id for t in targets]
        return self._scheduler.admit_program(
            request.program, request.seconds_left, ids, capacity, now, limits
        )

    def place_turn(
        self,
        request: PlacementRequest,
        targets: Sequence[TargetEntry],
        now: float,
        limits: Mapping[str, float] | None = None,
    ) -> TargetEntry | PlacementDeferred | None:
        """Return the target that a turn is sent to; None if there are no targets."""
        unranked = UnrankedPlacementRequest(
            request.id,
            request.program,
            request.zone,
            request.prompt_prefix,
            request.previous_target,
            request.remaining_seconds,
            request.connected_targets,
        )
        return self._scheduler.place_turn(unranked, targets, now, limits)

    def withdraw(self, id: TurnId) -> None:
        """Do nothing, as nothing waits."""

    def grant_waiting(self, eligible: Callable, now: float) -> list:
        """Return no grants, as nothing waits."""
        return []

    def end_turn(
        self, turn: TurnId, target: str, result: TurnResult, now: float
    ) -> None:
        """Record that a turn is no longer at its target."""
        self._scheduler.end_turn(
            turn, target, result.first_seconds, now, result.is_complete
        )

    def reconcile_host(self, host: str, counts: dict[str, int], now: float) -> None:
        """Remove turns that their host no longer reports."""
        self._scheduler.reconcile_host(host, counts, now)

    def forget_target(self, target: str) -> None:
        """Remove all state of a target that was removed."""
        self._scheduler.forget_target(target)

    def snapshot(self) -> dict:
        """Return nothing: this scheduler learns its state anew within seconds."""
        return {}

    def restore(self, snapshot: dict, now: float) -> None:
        """Ignore the state of a predecessor."""

    def status(self, now: float) -> dict:
        """Return no numbers."""
        return {}
