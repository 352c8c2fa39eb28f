"""Choice of the target of a turn by its predicted completion.

Load pattern: targets of one service differ in speed by a factor of two and slow down
for moments, while a few shared prompt parts and the prompts of earlier turns are in the
caches of some of them. See `swifttide_core.placement` for the prediction.
"""

from collections.abc import Sequence

from swifttide_core.forwarding import Candidate, TargetEntry, choose_target
from swifttide_core.placement import (
    PlacementCandidate,
    TargetLoad,
    TargetSpeeds,
    TurnDemand,
    TurnObservation,
    choose_by_completion,
)
from swifttide_core.scheduling._cached_prompts import CachedPrompts
from swifttide_core.scheduling._outstanding_turns import (
    OutstandingTurn,
    OutstandingTurns,
)
from swifttide_core.scheduling._requests import PlacementRequest, TurnResult

USUAL_CACHED_FRACTION = 0.7
"""Part of the prompt that the target of the branch's previous turn has cached, where
only the requesting host knows that target: after a change of the scheduler."""


class TurnPlacement:
    """Chooses targets, and learns from the turns that have ended.

    Parameters
    ----------
    turns : OutstandingTurns

    Attributes
    ----------
    speeds : TargetSpeeds
    memory_tokens : int
        Tokens that the memory of one target holds; 0 if unknown.
    tokens_per_event : int
        Output tokens in one event.
    """

    def __init__(self, turns: OutstandingTurns):
        self._turns = turns
        self._cached = CachedPrompts()
        self.speeds = TargetSpeeds()
        self.memory_tokens = 0
        self.tokens_per_event = 1

    def choose(
        self,
        request: PlacementRequest,
        targets: Sequence[TargetEntry],
        slack_seconds: float | None,
        now: float,
    ) -> TargetEntry | None:
        """Return the target with the least predicted cost; None without targets.

        Parameters
        ----------
        request : PlacementRequest
        targets : sequence of TargetEntry
        slack_seconds : float or None
            Time by which the turn may take longer than on the fastest target; None if
            unknown.
        now : float
            Monotonic seconds.
        """
        if not request.is_stream:
            return self._choose_by_count(request, targets, now)
        candidates = [
            PlacementCandidate(
                target,
                self.speeds.estimate(target.id, now),
                TargetLoad(
                    self._turns.count(target.id, now),
                    target.capacity,
                    self._turns.tokens(target.id),
                    self.memory_tokens,
                ),
                self.cached_tokens(request, target.id, now),
                target.zone != request.zone,
                target.id in request.connected_targets,
            )
            for target in targets
        ]
        demand = TurnDemand(
            request.prompt_tokens,
            request.n_events,
            self.tokens_per_event,
            slack_seconds,
        )
        choice = choose_by_completion(
            candidates, demand, request.program + request.branch
        )
        return choice.target if choice else None

    def previous_target(self, request: PlacementRequest) -> str:
        """Return the target of the branch's previous turn; empty if unknown."""
        previous, _ = self._cached.previous(request.program, request.branch)
        return previous or request.previous_target

    def cached_tokens(self, request: PlacementRequest, target: str, now: float) -> int:
        """Return the prompt tokens that a target is expected to have cached."""
        previous, tokens = self._cached.previous(request.program, request.branch)
        if target == previous:
            return min(tokens, request.prompt_tokens)
        if not previous and target == request.previous_target:
            return int(USUAL_CACHED_FRACTION * request.prompt_tokens)
        if self._cached.has_prefix(target, request.prompt_prefix, now):
            return min(request.prefix_tokens, request.prompt_tokens)
        return 0

    def observe(
        self, turn: OutstandingTurn, target: TargetEntry, result: TurnResult, now: float
    ) -> None:
        """Learn from a turn that has left its target."""
        if result.first_seconds is None:
            return
        self.speeds.observe(
            target.id,
            TurnObservation(
                result.first_seconds,
                result.gap_seconds,
                result.n_events,
                turn.read_tokens,
                turn.n_others,
                target.capacity,
            ),
            now,
        )
        if result.is_complete:
            self._cached.record(
                target.id,
                turn.program,
                turn.branch,
                turn.prompt_prefix,
                turn.prompt_tokens,
                now,
            )

    def forget_target(self, target: str) -> None:
        """Remove what is known of a target that has left."""
        self.speeds.forget(target)
        self._cached.forget_target(target)

    def _choose_by_count(self, request, targets, now) -> TargetEntry | None:
        """Choose by the number of requests at each target."""
        candidates = [
            Candidate(
                target,
                self._turns.count(target.id, now),
                target.id in request.connected_targets,
            )
            for target in targets
        ]
        return choose_target(
            candidates,
            request.zone,
            request.prompt_prefix,
            request.previous_target or None,
        )
