"""One order of turns in front of a service's targets, for all hosts.

Load pattern: hundreds of hosts each send a turn or so a second to the same few targets,
and a burst brings several times what the targets can finish.

Without it: each host chooses by what the others told a second ago, ten times as long as
a turn takes, so that all send to the target that was idle then; and a bound on new
programs follows a burst only when the targets' queues are full.

Grounds: one host sees all turns of a service before they are sent, and hears when they
end. New programs are let in while there are places, those under way always. A program
that was turned away has less of its time left each time it comes back: one that would
end late is refused for longer, so that places go to those that can still be in time.
What targets bear is learned from how long turns take, beside how long they take while
targets are mostly empty: engines are slower the fuller they are, and past some point
all programs end late. A target that is slower than the others to its first event counts
as longer, and is tried again as what is known of it grows old.
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
"""Part of a program's time that may pass until it is let in: its aim leaves about a
third of it for all waiting on the way."""

ENTRY_HOLD_SECONDS = 0.5
"""A program that was let in counts as a turn for so long, if none comes."""

PROGRAM_RETENTION_SECONDS = 10.0
"""Programs are remembered for so long after their last turn."""

MAX_PROGRAMS = 20_000
"""Programs that are remembered, some 200 bytes each."""

STARTUP_SECONDS = 3.0
"""For so long after its start an order also counts turns that others have told of."""

RECONCILE_MIN_AGE_SECONDS = 0.6
"""A turn that its host no longer tells of has ended; a younger one may not have been
sent when it told."""

LOW_LOAD_FRACTION = 0.35
"""Part of the places below which turns don't hold each other up."""


@dataclass(frozen=True, slots=True)
class TurnId:
    """A turn at the host that asks for its place.

    Parameters
    ----------
    host, boot : str
        Address and process of the host.
    number : int
        Of the turn there.
    """

    host: str
    boot: str
    number: int


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """A turn that is to be sent.

    Parameters
    ----------
    turn : TurnId
    program : str
        Key of its program; empty without one.
    zone : str
        Of its host.
    subject : str
        What its prompt begins with.
    last : str
        Target of the turn before; empty where it isn't known.
    seconds : float
        Until nobody waits for it any more.
    connected : frozenset of str
        Targets to which its host has an idle connection.
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
    """All targets have had what they may get in this second.

    Parameters
    ----------
    seconds : float
        Until one may get more.
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
    """Places the turns of one service.

    Parameters
    ----------
    now : float
        Monotonic seconds, as everywhere here.
    told : callable
        Takes a target's id and returns the requests there that other hosts told of.
    """

    def __init__(self, now: float, reported_outstanding: Callable[[str], float]):
        self._started_at = now
        self._reported_outstanding = reported_outstanding
        self._turns: dict[str, dict[TurnId, _PlacedTurn]] = {}
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
        """Let a new program in, or turn it away.

        Parameters
        ----------
        program : str
        seconds : float or None
            Until it should be finished; None if it doesn't say.
        targets : iterable of str
            Ids of the targets in service.
        places : int
            Requests that they run at once.
        now : float
        limits : mapping of str to float, optional
            Requests a second that each target may get.
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
        """Return the target that a turn goes to, None without any.

        Parameters
        ----------
        request : PlaceQuestion
        targets : iterable of TargetEntry
        now : float
        limits : mapping of str to float, optional
            Requests a second that each target may get.
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
            n_under_way = sum(self.outstanding(t.id, now) for t in targets)
            is_low_load = n_under_way < LOW_LOAD_FRACTION * sum(
                t.capacity for t in targets
            )
            turns = self._turns.setdefault(found.id, {})
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
        """Note that a turn is no longer at its target.

        Parameters
        ----------
        turn : TurnId
        target : str
        first_seconds : float or None
            From its sending to its first event; None if there was none.
        now : float
        is_whole : bool
            Whether its answer came to its end.
        """
        sent = self._turns.get(target, {}).pop(turn, None)
        if sent is None:
            return
        if is_complete:
            seconds = now - sent.placed_at
            self._bound.observe(seconds, sent.is_low_load, self._is_bound_reached, now)
        if first_seconds is None or first_seconds < 0.0:
            return
        self._latencies.observe(target, first_seconds, now)

    def reconcile_host(self, host: str, counts: dict[str, int], now: float) -> None:
        """Drop turns of a host that it no longer tells of: their end was lost."""
        for target, turns in self._turns.items():
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
        """Drop what is known of a target that has left."""
        self._turns.pop(target, None)
        self._latencies.forget(target)
        self._rate_limiter.forget(target)

    def load(self, targets: Iterable[str], now: float) -> float:
        """Return the turns at targets, and programs that are about to send one."""
        for program, until in list(self._entering_until.items()):
            if until <= now:
                del self._entering_until[program]
        return len(self._entering_until) + sum(
            self.outstanding(target, now) for target in targets
        )

    def outstanding(self, target: str, now: float) -> float:
        """Return the turns at a target."""
        turns = self._turns.setdefault(target, {})
        for turn, sent in list(turns.items()):
            if sent.expires_at <= now:
                del turns[turn]
        count = float(len(turns))
        if now - self._started_at < STARTUP_SECONDS:
            count = max(count, self._reported_outstanding(target))
        return count

    def slowness(self, target: str, now: float) -> float:
        """Return how many times as long as the others a target needs."""
        return self._latencies.slowness(
            target, self._latencies.median_seconds(now), now
        )

    def _any_target_ready(self, limits, now) -> bool:
        """Whether some target may get a request now."""
        return limits is None or bool(
            ReadyTargets.within_limits(self._rate_limiter, limits, now).targets
        )

    def _cost(self, target, median_seconds, now) -> float:
        """Return a target's load in turns; a slow one counts as longer."""
        count = self.outstanding(target.id, now)
        slowness = self._latencies.slowness(target.id, median_seconds, now)
        return count * slowness + target.capacity * (slowness - 1.0)

    def _touch_program(self, program, seconds, now) -> _KnownProgram:
        known = self._programs.get(program)
        if known is None:
            known = self._programs[program] = _KnownProgram(seconds, now)
        known.last_seen_at = now
        known.max_remaining_seconds = max(known.max_remaining_seconds, seconds)
        self._programs.move_to_end(program)
        while self._programs:
            oldest = next(iter(self._programs.values()))
            is_old = now - oldest.last_seen_at > PROGRAM_RETENTION_SECONDS
            if not is_old and len(self._programs) <= MAX_PROGRAMS:
                break
            self._programs.popitem(last=False)
        return known
