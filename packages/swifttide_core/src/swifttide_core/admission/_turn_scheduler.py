"""Central scheduling of all turns of one service onto its targets.

Hundreds of hosts each send about one turn per second to the same few targets, and a
burst brings several times what the targets can finish. If each host chose targets
itself, it would use counts that the others reported a second ago, ten times as long as
a turn takes. All hosts would then send to the target that was idle at that time, and a
bound on new programs would react to a burst only when the targets' queues are full.

Therefore one host schedules all turns of a service: it sees them before they are sent
and is told when they end. It decides as follows.

- New programs are admitted while targets have free places; a place is one turn that a
  target runs concurrently. Programs that have started are always admitted.
- A refused program has less time left at each retry. One that would end late gets a
  longer retry time, so that places go to programs that can still end in time.
- The number of outstanding turns is bounded, since engines are slower the fuller they
  are, and beyond some load all programs end late. The bound is learned by comparing the
  duration of recent turns with the duration at low load.
- A turn goes to the target with the lowest cost. The cost of a target that takes longer
  to the first event than the others is increased; it is tried again as its measurements
  get old.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from swifttide_core.admission._outstanding_turn_bound import OutstandingTurnBound
from swifttide_core.admission._program_gate import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    ProgramAdmitted,
    ProgramRefused,
)
from swifttide_core.admission._target_latencies import TargetLatencies
from swifttide_core.admission._target_rate_limiter import (
    ReadyTargets,
    TargetRateLimiter,
)
from swifttide_core.forwarding import Candidate, TargetEntry, choose_target

MAX_ENTRY_DELAY_FRACTION = 0.25
"""Fraction of a program's time to its deadline that may pass until it is admitted. The
deadline leaves about a third of that time for all waits of the program."""

ENTRY_HOLD_SECONDS = 0.5
"""Time for which an admitted program counts as one outstanding turn until its first
turn is placed."""

PROGRAM_RETENTION_SECONDS = 10.0
"""Time for which a program is remembered after its last request for admission or
placement."""

MAX_REMEMBERED_PROGRAMS = 20_000
"""Maximum number of remembered programs, about 200 bytes each."""

STARTUP_SECONDS = 3.0
"""Time after its start during which a scheduler also counts the requests that other
hosts have reported, since it has not seen the turns placed before."""

RECONCILE_MIN_AGE_SECONDS = 0.6
"""Minimum age of a turn that is removed because its host no longer reports it. A
younger turn may not have been sent yet when the host reported."""

LOW_LOAD_FRACTION = 0.35
"""Fraction of all places below which turns don't slow each other down."""


@dataclass(frozen=True, slots=True)
class TurnId:
    """Identity of a turn, assigned by the host that requests its placement.

    Parameters
    ----------
    host, boot : str
        Address of the host and identity of its process.
    number : int
        Number of the turn in that process.
    """

    host: str
    boot: str
    number: int


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Request for a target to which a turn is sent.

    Parameters
    ----------
    turn : TurnId
    program : str
        Key of its program; empty without one.
    zone : str
        Zone of the requesting host.
    prompt_prefix : str
        Beginning of its prompt; targets may have it in their cache.
    previous_target : str
        Id of the target of the program's previous turn; empty if unknown.
    remaining_seconds : float
        Time after which no caller waits for the turn any more.
    connected_targets : frozenset of str
        Ids of targets to which the requesting host has an idle connection.
    """

    turn: TurnId
    program: str
    zone: str
    prompt_prefix: str
    previous_target: str
    remaining_seconds: float
    connected_targets: frozenset[str] = frozenset()


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
class _PlacedTurn:
    placed_at: float
    expires_at: float
    is_low_load: bool


@dataclass(slots=True)
class _KnownProgram:
    max_remaining_seconds: float
    last_seen_at: float
    is_admitted: bool = False


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
        self._started_at = now
        self._reported_outstanding = reported_outstanding
        self._outstanding_turns: dict[str, dict[TurnId, _PlacedTurn]] = {}
        self._programs: OrderedDict[str, _KnownProgram] = OrderedDict()
        self._latencies = TargetLatencies()
        self._rate_limiter = TargetRateLimiter()
        self._entering_until: dict[str, float] = {}
        self._bound = OutstandingTurnBound()
        self._is_bound_reached = False

    def admit_program(
        self,
        program: str,
        seconds: float | None,
        targets: Iterable[str],
        capacity: int,
        now: float,
        limits: Mapping[str, float] | None = None,
    ) -> ProgramAdmitted | ProgramRefused:
        """Admit or refuse a program; one that has started is always admitted.

        Parameters
        ----------
        program : str
            Key of the program.
        seconds : float or None
            Time until the program's deadline; None if it has none.
        targets : iterable of str
            Ids of the targets in service.
        capacity : int
            Number of requests that these targets run concurrently.
        now : float
        limits : mapping of str to float, optional
            Requests per second that each target may get, by id; no limit by default.
        """
        known = self._touch_program(program, seconds or 0.0, now)
        if known.is_admitted:
            return ProgramAdmitted()
        if (
            seconds
            and known.max_remaining_seconds - seconds
            > MAX_ENTRY_DELAY_FRACTION * known.max_remaining_seconds
        ):
            return ProgramRefused(MAX_RETRY_SECONDS)
        self._is_bound_reached = (
            self.load(targets, now) >= self._bound.fraction * capacity
        )
        if self._is_bound_reached or not self._any_target_ready(limits, now):
            return ProgramRefused(MIN_RETRY_SECONDS)
        known.is_admitted = True
        self._entering_until[program] = now + ENTRY_HOLD_SECONDS
        return ProgramAdmitted()

    def place_turn(
        self,
        request: PlacementRequest,
        targets: Iterable[TargetEntry],
        now: float,
        limits: Mapping[str, float] | None = None,
    ) -> TargetEntry | PlacementDeferred | None:
        """Return the target that a turn is sent to; None if there are no targets.

        Parameters
        ----------
        request : PlacementRequest
        targets : iterable of TargetEntry
        now : float
        limits : mapping of str to float, optional
            Requests per second that each target may get, by id; no limit by default.
        """
        if request.program:
            self._touch_program(request.program, 0.0, now).is_admitted = True
            self._entering_until.pop(request.program, None)
        targets = tuple(targets)
        if limits is not None and targets:
            ready = ReadyTargets.within_limits(
                self._rate_limiter, {t.id: limits[t.id] for t in targets}, now
            )
            if not ready.targets:
                return PlacementDeferred(ready.wait_seconds)
            targets = tuple(t for t in targets if t.id in ready.targets)
        median_seconds = self._latencies.median_seconds(now)
        candidates = [
            Candidate(
                t, self._cost(t, median_seconds, now), t.id in request.connected_targets
            )
            for t in targets
        ]
        found = choose_target(
            candidates,
            request.zone,
            request.prompt_prefix,
            request.previous_target or None,
        )
        if found is not None:
            n_outstanding = sum(self.outstanding(t.id, now) for t in targets)
            is_low_load = n_outstanding < LOW_LOAD_FRACTION * sum(
                t.capacity for t in targets
            )
            turns = self._outstanding_turns.setdefault(found.id, {})
            turns[request.turn] = _PlacedTurn(
                now, now + request.remaining_seconds, is_low_load
            )
            if limits is not None:
                self._rate_limiter.record(found.id, now)
        return found

    def end_turn(
        self,
        turn: TurnId,
        target: str,
        first_seconds: float | None,
        now: float,
        is_complete: bool = True,
    ) -> None:
        """Record that a turn is no longer at its target; an unknown turn is ignored.

        Parameters
        ----------
        turn : TurnId
        target : str
        first_seconds : float or None
            Time from sending the turn to its first event; None if there was none.
        now : float
        is_complete : bool
            Whether the answer was received to its end.
        """
        sent = self._outstanding_turns.get(target, {}).pop(turn, None)
        if sent is None:
            return
        if is_complete:
            seconds = now - sent.placed_at
            self._bound.observe(seconds, sent.is_low_load, self._is_bound_reached, now)
        if first_seconds is None or first_seconds < 0.0:
            return
        self._latencies.observe(target, first_seconds, now)

    def reconcile_host(self, host: str, counts: dict[str, int], now: float) -> None:
        """Remove turns that their host no longer reports.

        The notice of the end of such a turn was lost.

        Parameters
        ----------
        host : str
            Address of the reporting host.
        counts : dict of str to int
            Number of the host's outstanding requests at each target.
        now : float
        """
        for target, turns in self._outstanding_turns.items():
            own = [
                (sent.placed_at, turn)
                for turn, sent in turns.items()
                if turn.host == host
                and now - sent.placed_at > RECONCILE_MIN_AGE_SECONDS
            ]
            surplus = len(own) - counts.get(target, 0)
            for _, turn in sorted(own, key=lambda item: item[0])[: max(0, surplus)]:
                del turns[turn]

    def forget_target(self, target: str) -> None:
        """Remove all state of a target that was removed."""
        self._outstanding_turns.pop(target, None)
        self._latencies.forget(target)
        self._rate_limiter.forget(target)

    def load(self, targets: Iterable[str], now: float) -> float:
        """Return the number of outstanding turns, including those about to be placed.

        A program that was just admitted counts as one turn until it sends one.
        """
        for program, until in list(self._entering_until.items()):
            if until <= now:
                del self._entering_until[program]
        return len(self._entering_until) + sum(
            self.outstanding(target, now) for target in targets
        )

    def outstanding(self, target: str, now: float) -> float:
        """Return the number of turns at a target that have not ended or expired."""
        turns = self._outstanding_turns.setdefault(target, {})
        for turn, sent in list(turns.items()):
            if sent.expires_at <= now:
                del turns[turn]
        count = float(len(turns))
        if now - self._started_at < STARTUP_SECONDS:
            count = max(count, self._reported_outstanding(target))
        return count

    def slowness(self, target: str, now: float) -> float:
        """Return the ratio of a target's latency to the median, 1 if it isn't slow."""
        return self._latencies.slowness(
            target, self._latencies.median_seconds(now), now
        )

    def _any_target_ready(self, limits, now) -> bool:
        """Return whether some target may get a request within its limit now."""
        return limits is None or bool(
            ReadyTargets.within_limits(self._rate_limiter, limits, now).targets
        )

    def _cost(self, target, median_seconds, now) -> float:
        """Return a target's cost in turns; it is higher for slow targets."""
        count = self.outstanding(target.id, now)
        slowness = self._latencies.slowness(target.id, median_seconds, now)
        return count * slowness + target.capacity * (slowness - 1.0)

    def _touch_program(self, program, seconds, now) -> _KnownProgram:
        """Return the record of a program, and remove records that are too old."""
        known = self._programs.get(program)
        if known is None:
            known = self._programs[program] = _KnownProgram(seconds, now)
        known.last_seen_at = now
        known.max_remaining_seconds = max(known.max_remaining_seconds, seconds)
        self._programs.move_to_end(program)
        while self._programs:
            oldest = next(iter(self._programs.values()))
            is_old = now - oldest.last_seen_at > PROGRAM_RETENTION_SECONDS
            if not is_old and len(self._programs) <= MAX_REMEMBERED_PROGRAMS:
                break
            self._programs.popitem(last=False)
        return known
