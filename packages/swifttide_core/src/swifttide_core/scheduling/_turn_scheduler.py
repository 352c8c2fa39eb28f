"""Scheduling of all programs and turns of one service onto its targets.

Load pattern: hundreds of hosts each send about one turn per second to the same few
targets, and a burst brings several times what the targets can finish. If each host
chose targets itself, it would use counts that the others reported a second ago, ten
times as long as a turn takes. All hosts would then send to the target that was idle at
that time.

Therefore one host schedules all turns of a service: it sees them before they are sent
and is told when they end. It decides which programs are admitted (`ProgramAdmission`),
in which order turns get free slots (`WaitQueue`), and at which target a turn is
predicted to complete first (`TurnPlacement`). While no target has a free slot, turns
wait here rather than in the targets' queues, which serve them in order of arrival,
whoever they are for.
"""

from collections.abc import Callable, Mapping, Sequence

from swifttide_core.admission import (
    PlacementDeferred,
    ProgramAdmitted,
    ProgramRefused,
)
from swifttide_core.forwarding import TargetEntry
from swifttide_core.scheduling._fair_shares import FairShares
from swifttide_core.scheduling._outstanding_turns import (
    OutstandingTurn,
    OutstandingTurns,
)
from swifttide_core.scheduling._paced_targets import PacedTargets
from swifttide_core.scheduling._program_admission import ProgramAdmission
from swifttide_core.scheduling._program_times import ProgramTimes
from swifttide_core.scheduling._requests import (
    AdmissionGrant,
    AdmissionWithdrawn,
    Eligible,
    PlacementGrant,
    PlacementRequest,
    ProgramQueued,
    ProgramRequest,
    TurnId,
    TurnQueued,
    TurnResult,
)
from swifttide_core.scheduling._scheduler_status import scheduler_status
from swifttide_core.scheduling._target_room import TargetRoom
from swifttide_core.scheduling._turn_placement import TurnPlacement
from swifttide_core.scheduling._waiting_requests import WaitingRequests

MAX_TURN_WAIT_SECONDS = 1.0
"""Longest time that a turn waits for a free slot. Beyond it the turn goes to a target's
own queue, so that a wrong count of its slots can't hold up turns for good."""

MAX_TURN_WAIT_FRACTION = 0.3
"""Longest wait as a fraction of the time left to the turn."""

QUEUED_RETRY_SECONDS = 0.1
"""Time after which a host asks again for a turn that waits, in case the decision was
lost on the way; half the time that a turn takes."""

ABANDONED_SECONDS = 0.6
"""Time after which a waiting turn is dropped if its host, which asks each
`QUEUED_RETRY_SECONDS`, hasn't asked again: the host is lost."""

LOW_LOAD_FRACTION = 0.35
"""Fraction of all slots below which turns don't slow each other down."""

EXPIRE_INTERVAL_SECONDS = 0.1
"""Time between two searches for expired records."""


class TurnScheduler:
    """Admits the programs of one service and assigns their turns to targets.

    Parameters
    ----------
    now : float
        Current time in monotonic seconds, as in all methods.
    reported_outstanding : callable
        Takes a target's id and returns the number of outstanding requests there that
        other hosts have reported.
    """

    def __init__(self, now: float, reported_outstanding: Callable[[str], float]):
        self._turns = OutstandingTurns(now, reported_outstanding)
        self._times = ProgramTimes()
        self._shares = FairShares()
        self._waiting: WaitingRequests[PlacementRequest] = WaitingRequests(
            True, ABANDONED_SECONDS
        )
        self._placement = TurnPlacement(self._turns)
        self._admission = ProgramAdmission(
            self._turns,
            self._waiting.counts_by_rank,
            lambda at: self._turns.unattributed(self._targets, at),
            self._times,
            self._shares,
        )
        self._room = TargetRoom(self._turns)
        self._paced = PacedTargets()
        self._targets: dict[str, TargetEntry] = {}
        self._expired_at = now

    def describe_targets(self, memory_tokens: int, tokens_per_event: int) -> None:
        """Set what the service's configuration says of each of its targets.

        Parameters
        ----------
        memory_tokens : int
            Tokens that the memory of one target holds; 0 if unknown.
        tokens_per_event : int
            Output tokens in one event; 0 if unknown.
        """
        self._placement.memory_tokens = memory_tokens
        self._placement.tokens_per_event = tokens_per_event or 1

    def admit_program(
        self,
        request: ProgramRequest,
        targets: Sequence[TargetEntry],
        capacity: float,
        now: float,
        limits: Mapping[str, float] | None = None,
    ) -> ProgramAdmitted | ProgramQueued | ProgramRefused:
        """Admit, queue or refuse a program; one that has started is always admitted.

        Parameters
        ----------
        request : ProgramRequest
        targets : sequence of TargetEntry
            Targets in service.
        capacity : float
            Number of requests that these targets run concurrently.
        now : float
        limits : mapping of str to float, optional
            Requests per second that each target may get, by id; no limit by default.
        """
        self._expire(now)
        self._targets.update((target.id, target) for target in targets)
        is_paced = not self._paced.is_any_ready(limits, now)
        decision = self._admission.admit(request, capacity, is_paced, now)
        if isinstance(decision, ProgramAdmitted):
            self._learn_begin(request.program, request.work, now)
        return decision

    def place_turn(
        self,
        request: PlacementRequest,
        targets: Sequence[TargetEntry],
        now: float,
        limits: Mapping[str, float] | None = None,
    ) -> TargetEntry | TurnQueued | PlacementDeferred | None:
        """Return the target of a turn, or let it wait; None if there are no targets.

        Parameters
        ----------
        request : PlacementRequest
        targets : sequence of TargetEntry
        now : float
        limits : mapping of str to float, optional
            Requests per second that each target may get, by id; no limit by default.
        """
        self._expire(now)
        if request.program:
            self._begin_program(request, now)
        placed = self._turns.find(request.id)
        if placed in self._targets:
            return self._targets[placed]
        ready = self._paced.ready(targets, limits, now)
        if not targets or isinstance(ready, PlacementDeferred):
            # The host doesn't wait for the turn under this number any more.
            self._waiting.remove(request.id)
            return ready if targets else None
        if self._must_wait(request, ready, now):
            left = min(
                MAX_TURN_WAIT_SECONDS,
                MAX_TURN_WAIT_FRACTION * request.remaining_seconds,
            )
            give_up_at = now - request.waited_seconds + left
            if now < give_up_at and self._waiting.add(request, give_up_at, now):
                self._admission.observe_demand(now)
                return TurnQueued(QUEUED_RETRY_SECONDS)
        self._waiting.remove(request.id)
        return self._place(request, ready, now, limits is not None)

    def grant_waiting(
        self,
        eligible: Callable[[PlacementRequest | ProgramRequest], Eligible],
        now: float,
    ) -> list[PlacementGrant | AdmissionGrant | AdmissionWithdrawn]:
        """Return the decisions for waiting requests that can be taken now.

        Parameters
        ----------
        eligible : callable
            Returns the targets to which a waiting request may go.
        now : float
        """
        self._expire(now)
        eligible = _remember_answers(eligible)
        decisions: list[PlacementGrant | AdmissionGrant | AdmissionWithdrawn] = []
        for request in self._waiting.expire(now):
            decisions += self._grant_turn(request, eligible, now)
        while len(self._waiting) and self._room.is_any(self._targets.values(), now):
            request = self._waiting.next(
                self._shares, now, self._may_take_now(eligible, now)
            )
            if request is None:
                break
            decisions += self._grant_turn(request, eligible, now)

        def capacity_for(request) -> float:
            found = eligible(request)
            is_ready = self._paced.is_any_ready(found.limits, now)
            return found.capacity if is_ready else 0.0

        for decision in self._admission.grant_waiting(capacity_for, now):
            if isinstance(decision, AdmissionGrant):
                self._learn_begin(decision.program, decision.work, now)
            decisions.append(decision)
        return decisions

    def withdraw(self, request_id: TurnId) -> None:
        """Forget a waiting request whose caller has left."""
        self._waiting.remove(request_id)
        self._admission.withdraw(request_id)

    def end_turn(
        self, turn: TurnId, target: str, result: TurnResult, now: float
    ) -> None:
        """Record that a turn is no longer at its target; an unknown turn is ignored."""
        ended = self._turns.remove(target, turn)
        if ended is None:
            return
        seconds = now - ended.placed_at
        expected = self._times.turn_seconds(ended.work.route)
        self._shares.record(ended.work, seconds - expected, now)
        if result.is_complete and ended.program:
            self._times.turn_ended(
                ended.program,
                seconds,
                ended.is_low_load,
                now,
                ended.waited_seconds,
            )
        entry = self._targets.get(target)
        if entry is not None:
            self._placement.observe(ended, entry, result, now)

    def reconcile_host(self, host: str, counts: dict[str, int], now: float) -> None:
        """Remove turns that their host no longer reports; see `OutstandingTurns`."""
        self._turns.reconcile_host(host, counts, now)

    def forget_target(self, target: str) -> None:
        """Remove all state of a target that was removed."""
        self._turns.forget_target(target)
        self._placement.forget_target(target)
        self._paced.forget(target)
        self._targets.pop(target, None)

    def snapshot(self) -> dict:
        """Return what a successor can't learn from the hosts, as JSON-compatible data.

        These are the speeds of targets and the times of programs by route.
        """
        return {
            "targets": self._placement.speeds.snapshot(),
            "routes": self._times.snapshot(),
        }

    def restore(self, snapshot: dict, now: float) -> None:
        """Take over the state of a predecessor from its snapshot."""
        self._placement.speeds.restore(snapshot.get("targets", {}), now)
        self._times.restore(snapshot.get("routes", {}))

    def resume(self, now: float) -> None:
        """Go on after a time in which another host may have been the scheduler."""
        self._turns.resume(now)

    def status(self, now: float) -> dict:
        """Return figures for the log; see `scheduler_status`."""
        return scheduler_status(
            self._targets.values(),
            self._turns,
            self._placement.speeds,
            self._waiting.counts(),
            self._admission,
            self._times,
            now,
        )

    def _learn_begin(self, program, work, now):
        """Let the times of the route learn from an admitted program.

        The deadline counts from the program's first request, not from its admission.
        """
        known = self._admission.programs.touch(program, work, 0.0, now)
        self._times.begin(program, work.route, known.first_seconds_left or None, now)

    def _begin_program(self, request, now):
        self._admission.programs.touch(request.program, request.work, 0.0, now)
        self._admission.programs.begin(request.program)
        # A program that began under another scheduler teaches no deadline.
        self._times.begin(request.program, request.work.route, None, now)

    def _must_wait(self, request, targets, now) -> bool:
        """Return whether a request waits because no target has room for it."""
        if not request.is_stream:
            return False
        cached = self._placement.previous_target(request)
        if self._room.is_at_cache(targets, cached, now):
            return False
        n_before = len(self._waiting) - (request.id in self._waiting)
        return self._room.count(targets, now) <= n_before

    def _may_take_now(self, eligible, now) -> Callable[[PlacementRequest], bool]:
        """Return a function that tells whether a target has room for a waiting turn.

        It is called for all waiting turns while the only free slots are at targets that
        none of them may use, such as one that is down, so each kind is decided once.
        """
        known: dict[tuple, bool] = {}

        def may_take(request) -> bool:
            kind = _kind_of(request)
            if kind not in known:
                found = eligible(request)
                ready = self._paced.ready(found.targets, found.limits, now)
                is_deferred = isinstance(ready, PlacementDeferred)
                known[kind] = not is_deferred and self._room.is_any(ready, now)
            return known[kind]

        return may_take

    def _grant_turn(self, request, eligible, now) -> list[PlacementGrant]:
        """Place a waiting turn; its host asks again where no target may take it."""
        found = eligible(request)
        ready = self._paced.ready(found.targets, found.limits, now)
        if isinstance(ready, PlacementDeferred):
            return []
        target = self._place(request, ready, now, found.limits is not None)
        return [PlacementGrant(request.id, target)] if target else []

    def _place(self, request, targets, now, is_limited) -> TargetEntry | None:
        """Place a turn at one of the targets, preferably at one with room for it."""
        for target in targets:
            self._targets[target.id] = target
        cached = self._placement.previous_target(request)
        free = self._room.with_room(targets, cached, now)
        chosen = self._placement.choose(
            request, free or targets, self._slack(request), now
        )
        if chosen is None:
            return None
        n_all = self._turns.total(self._targets, now)
        slots = sum(t.capacity for t in self._targets.values())
        self._turns.add(
            chosen.id,
            OutstandingTurn(
                request.id,
                request.program,
                request.branch,
                request.prompt_prefix,
                request.work,
                request.prompt_tokens,
                request.prompt_tokens
                - self._placement.cached_tokens(request, chosen.id, now),
                int(self._turns.count(chosen.id, now)),
                now,
                now + request.remaining_seconds,
                request.waited_seconds,
                n_all < LOW_LOAD_FRACTION * slots,
            ),
        )
        # The difference to the actual time follows at the turn's end. Recorded only
        # then, a rank without service would take every free slot for a whole turn.
        self._shares.record(
            request.work, self._times.turn_seconds(request.work.route), now
        )
        if is_limited:
            self._paced.record(chosen.id, now)
        self._admission.observe_demand(now)
        return chosen

    def _slack(self, request) -> float | None:
        """Return by how much a turn may take longer; None if unknown."""
        if request.program_seconds_left is None:
            return None
        return self._times.tolerable_wait(request.work.route)

    def _expire(self, now):
        if now - self._expired_at < EXPIRE_INTERVAL_SECONDS:
            return
        self._expired_at = now
        self._turns.expire(now)
        self._times.expire(now)
        self._admission.programs.expire(now)


def _remember_answers(eligible):
    """Return a function that asks only once for each kind of request."""
    answers: dict[tuple, Eligible] = {}

    def find(request) -> Eligible:
        kind = _kind_of(request)
        if kind not in answers:
            answers[kind] = eligible(request)
        return answers[kind]

    return find


def _kind_of(request: PlacementRequest | ProgramRequest) -> tuple:
    """Return by what the targets and limits of waiting requests differ."""
    # Limits of a program's request differ from those of a turn.
    return request.regions, getattr(request, "excluded_targets", None)
