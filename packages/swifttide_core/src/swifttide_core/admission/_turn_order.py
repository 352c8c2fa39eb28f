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

from swifttide_core.admission._program_gate import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    Entered,
    TurnedAway,
)
from swifttide_core.admission._target_pace import Paced, TargetPace
from swifttide_core.admission._target_speeds import TargetSpeeds
from swifttide_core.admission._turn_bound import TurnBound
from swifttide_core.forwarding import Candidate, TargetEntry, choose_target

LATE_PART = 0.25
"""Part of a program's time that may pass until it is let in: its aim leaves about a
third of it for all waiting on the way."""

ENTRY_SECONDS = 0.5
"""A program that was let in counts as a turn for so long, if none comes."""

KNOWN_SECONDS = 10.0
"""Programs are remembered for so long after their last turn."""

MAX_PROGRAMS = 20_000
"""Programs that are remembered, some 200 bytes each."""

SETTLE_SECONDS = 3.0
"""For so long after its start an order also counts turns that others have told of."""

MISSED_SECONDS = 0.6
"""A turn that its host no longer tells of has ended; a younger one may not have been
sent when it told."""

CALM_PART = 0.35
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
class PlaceQuestion:
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
    subject: str
    last: str
    seconds: float
    connected: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PlaceLater:
    """All targets have had what they may get in this second.

    Parameters
    ----------
    seconds : float
        Until one may get more.
    """

    seconds: float


@dataclass(frozen=True, slots=True)
class _Sent:
    placed_at: float
    until: float
    is_calm: bool


@dataclass(slots=True)
class _Program:
    seconds: float
    seen_at: float
    is_in: bool = False


class TurnOrder:
    """Places the turns of one service.

    Parameters
    ----------
    now : float
        Monotonic seconds, as everywhere here.
    told : callable
        Takes a target's id and returns the requests there that other hosts told of.
    """

    def __init__(self, now: float, told: Callable[[str], float]):
        self._began = now
        self._told = told
        self._turns: dict[str, dict[TurnId, _Sent]] = {}
        self._programs: OrderedDict[str, _Program] = OrderedDict()
        self._speeds = TargetSpeeds()
        self._pace = TargetPace()
        self._entering: dict[str, float] = {}
        self._bound = TurnBound()
        self._is_full = False

    def enter(
        self,
        program: str,
        seconds: float | None,
        targets: Iterable[str],
        places: int,
        now: float,
        limits: Mapping[str, float] | None = None,
    ) -> Entered | TurnedAway:
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
        known = self._know(program, seconds or 0.0, now)
        if known.is_in:
            return Entered()
        if seconds and known.seconds - seconds > LATE_PART * known.seconds:
            return TurnedAway(MAX_RETRY_SECONDS)
        self._is_full = self.load(targets, now) >= self._bound.part * places
        if self._is_full or not self._has_pace(limits, now):
            return TurnedAway(MIN_RETRY_SECONDS)
        known.is_in = True
        self._entering[program] = now + ENTRY_SECONDS
        return Entered()

    def place(
        self,
        question: PlaceQuestion,
        targets: Iterable[TargetEntry],
        now: float,
        limits: Mapping[str, float] | None = None,
    ) -> TargetEntry | PlaceLater | None:
        """Return the target that a turn goes to, None without any.

        Parameters
        ----------
        question : PlaceQuestion
        targets : iterable of TargetEntry
        now : float
        limits : mapping of str to float, optional
            Requests a second that each target may get.
        """
        if question.program:
            self._know(question.program, 0.0, now).is_in = True
            self._entering.pop(question.program, None)
        targets = tuple(targets)
        if limits is not None and targets:
            paced = Paced.of(self._pace, {t.id: limits[t.id] for t in targets}, now)
            if not paced.targets:
                return PlaceLater(paced.wait_seconds)
            targets = tuple(t for t in targets if t.id in paced.targets)
        typical = self._speeds.typical(now)
        candidates = [
            Candidate(t, self._cost(t, typical, now), t.id in question.connected)
            for t in targets
        ]
        found = choose_target(
            candidates, question.zone, question.subject, question.last or None
        )
        if found is not None:
            n_under_way = sum(self.outstanding(t.id, now) for t in targets)
            is_calm = n_under_way < CALM_PART * sum(t.capacity for t in targets)
            turns = self._turns.setdefault(found.id, {})
            turns[question.turn] = _Sent(now, now + question.seconds, is_calm)
            if limits is not None:
                self._pace.note(found.id, now)
        return found

    def left(
        self,
        turn: TurnId,
        target: str,
        first_seconds: float | None,
        now: float,
        is_whole: bool = True,
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
        if is_whole:
            seconds = now - sent.placed_at
            self._bound.note(seconds, sent.is_calm, self._is_full, now)
        if first_seconds is None or first_seconds < 0.0:
            return
        self._speeds.note(target, first_seconds, now)

    def reconcile(self, host: str, counts: dict[str, int], now: float) -> None:
        """Drop turns of a host that it no longer tells of: their end was lost."""
        for target, turns in self._turns.items():
            own = [
                (sent.placed_at, turn)
                for turn, sent in turns.items()
                if turn.host == host and now - sent.placed_at > MISSED_SECONDS
            ]
            surplus = len(own) - counts.get(target, 0)
            for _, turn in sorted(own, key=lambda item: item[0])[: max(0, surplus)]:
                del turns[turn]

    def forget(self, target: str) -> None:
        """Drop what is known of a target that has left."""
        self._turns.pop(target, None)
        self._speeds.forget(target)
        self._pace.forget(target)

    def load(self, targets: Iterable[str], now: float) -> float:
        """Return the turns at targets, and programs that are about to send one."""
        for program, until in list(self._entering.items()):
            if until <= now:
                del self._entering[program]
        return len(self._entering) + sum(
            self.outstanding(target, now) for target in targets
        )

    def outstanding(self, target: str, now: float) -> float:
        """Return the turns at a target."""
        turns = self._turns.setdefault(target, {})
        for turn, sent in list(turns.items()):
            if sent.until <= now:
                del turns[turn]
        count = float(len(turns))
        if now - self._began < SETTLE_SECONDS:
            count = max(count, self._told(target))
        return count

    def slowness(self, target: str, now: float) -> float:
        """Return how many times as long as the others a target needs."""
        return self._speeds.slowness(target, self._speeds.typical(now), now)

    def _has_pace(self, limits, now) -> bool:
        """Whether some target may get a request now."""
        return limits is None or bool(Paced.of(self._pace, limits, now).targets)

    def _cost(self, target, typical, now) -> float:
        """Return a target's load in turns; a slow one counts as longer."""
        count = self.outstanding(target.id, now)
        slow = self._speeds.slowness(target.id, typical, now)
        return count * slow + target.capacity * (slow - 1.0)

    def _know(self, program, seconds, now) -> _Program:
        known = self._programs.get(program)
        if known is None:
            known = self._programs[program] = _Program(seconds, now)
        known.seen_at = now
        known.seconds = max(known.seconds, seconds)
        self._programs.move_to_end(program)
        while self._programs:
            oldest = next(iter(self._programs.values()))
            is_old = now - oldest.seen_at > KNOWN_SECONDS
            if not is_old and len(self._programs) <= MAX_PROGRAMS:
                break
            self._programs.popitem(last=False)
        return known
