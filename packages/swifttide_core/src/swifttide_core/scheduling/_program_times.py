"""Turns, times and deadlines of programs, learned by route.

A fixed bound on the slowdown of turns refused a sixth of all programs for twelve
seconds after a burst of seven. How much slower turns may become depends on what callers
tolerate: the difference between a program's deadline and its time on lightly loaded
targets, divided by its turns. This module learns these from the programs that ended.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, field

PRIOR_TURNS = 4.0
PRIOR_TURN_SECONDS = 0.2
PRIOR_OTHER_SECONDS_PER_TURN = 0.15
PRIOR_DEADLINE_FACTOR = 1.4
"""Assumed turns of a program, time of a turn, time of tools and pauses for each turn,
and ratio of the deadline to the needed time, each until it is learned. They lie between
the short and the long programs of the design page."""

IDLE_SECONDS = 2.0
"""Time without a turn after which a program counts as ended; pauses between two turns
are some tenths of a second."""

PROGRAM_GAIN = 0.02
"""Smallest weight of the newest program in the means of a route, which then cover about
fifty programs: one or two seconds of a route with a usual load."""

LOW_LOAD_GAIN = 0.005
"""Smallest weight of the newest turn in the mean time at low load, which then covers
about two hundred turns. It must not follow a target that is slow for a moment."""

RECENT_GAIN = 0.05
"""Smallest weight of the newest turn in the recent mean time, which then covers about
twenty turns, so that the load limit recovers within a second."""

OUTLIER_CAP_FACTOR = 3.0
"""Multiple of the current mean at which a new value is capped. Otherwise one program in
an endless loop, or one hung turn, would change the mean for all others."""

MIN_TURNS_CAP = 16.0
MIN_SECONDS_CAP = 1.0
"""Least values of these caps, in turns and in seconds. Otherwise a mean of 0 could
never rise again."""

MAX_PROGRAMS = 20_000
"""Largest number of programs in progress, some 300 bytes each. The one longest without
a turn is evicted and teaches nothing, as its record may be incomplete."""

MAX_ROUTES = 256
"""Largest number of routes; the one that learned least recently is evicted."""

MAX_RESTORED_COUNT = 1_000.0
"""Largest number of values that a restored mean stands for; all gains have reached
their smallest weight by then."""


@dataclass(slots=True)
class _MovingMean:
    """Mean of all values until its gain reaches the bound; a moving mean after that."""

    min_gain: float
    min_cap: float
    count: float = 0.0
    value: float = 0.0

    def update(self, value) -> None:
        self.count += 1
        if self.count > 1:
            value = min(value, max(OUTLIER_CAP_FACTOR * self.value, self.min_cap))
        gain = max(self.min_gain, 1.0 / self.count)
        self.value += gain * (value - self.value)

    def get(self, prior) -> float:
        return self.value if self.count else prior


def _seconds_mean(min_gain):
    return field(default_factory=lambda: _MovingMean(min_gain, MIN_SECONDS_CAP))


@dataclass(slots=True)
class _RouteTimes:
    turns: _MovingMean = field(
        default_factory=lambda: _MovingMean(PROGRAM_GAIN, MIN_TURNS_CAP)
    )
    other_seconds: _MovingMean = _seconds_mean(PROGRAM_GAIN)
    deadline: _MovingMean = _seconds_mean(PROGRAM_GAIN)
    low_load_turn: _MovingMean = _seconds_mean(LOW_LOAD_GAIN)
    recent_turn: _MovingMean = _seconds_mean(RECENT_GAIN)

    def means(self) -> tuple[_MovingMean, ...]:
        return (
            self.turns,
            self.other_seconds,
            self.deadline,
            self.low_load_turn,
            self.recent_turn,
        )


_UNKNOWN_ROUTE = _RouteTimes()


@dataclass(slots=True)
class _ActiveProgram:
    route: str
    seconds_left: float | None
    begun_at: float
    active_at: float
    ended_at: float
    n_turns: int = 0
    turn_seconds: float = 0.0


class ProgramTimes:
    """Turns, times and deadlines of the programs of each route.

    Times of turns are learned at the end of each turn, everything else when a program
    has ended with at least one turn.
    """

    def __init__(self):
        self._programs: OrderedDict[str, _ActiveProgram] = OrderedDict()
        self._routes: OrderedDict[str, _RouteTimes] = OrderedDict()

    def begin(
        self, program: str, route: str, seconds_left: float | None, now: float
    ) -> None:
        """Begin the record of a program.

        For a known program this only defers its end. Callers do so when a turn starts,
        so that a program isn't ended during a turn of more than two seconds.

        Parameters
        ----------
        program, route : str
            Key of the program, and name of its route.
        seconds_left : float or None
            Time until its deadline; None, infinite or not above 0 if unknown.
        now : float
            Monotonic seconds.
        """
        known = self._programs.get(program)
        if known is not None:
            known.active_at = now
            self._programs.move_to_end(program)
            return
        if seconds_left is not None and not 0 < seconds_left < math.inf:
            seconds_left = None
        self._programs[program] = _ActiveProgram(route, seconds_left, now, now, now)
        if len(self._programs) > MAX_PROGRAMS:
            self._programs.popitem(last=False)

    def turn_ended(
        self,
        program: str,
        turn_seconds: float,
        is_low_load: bool,
        now: float,
        waited_seconds: float = 0.0,
    ) -> None:
        """Add a turn that ended.

        A turn of an unknown program, and a time that isn't finite or is negative, are
        ignored.

        Parameters
        ----------
        program : str
            Key of its program.
        turn_seconds : float
            Time of the turn at its target.
        is_low_load : bool
            Whether most slots were free when the turn was placed.
        now : float
            Monotonic seconds.
        waited_seconds : float
            Time that the turn waited for a slot, which would be taken for the time of
            tools otherwise.
        """
        known = self._programs.get(program)
        if known is None or not 0 <= turn_seconds < math.inf:
            return
        known.n_turns += 1
        known.turn_seconds += turn_seconds + waited_seconds
        known.active_at = known.ended_at = now
        self._programs.move_to_end(program)
        times = self._learning_route(known.route)
        times.recent_turn.update(turn_seconds)
        if is_low_load:
            times.low_load_turn.update(turn_seconds)

    def expire(self, now: float) -> None:
        """Learn from programs that ended; calling it every 0.2 s is enough."""
        while self._programs:
            program, record = next(iter(self._programs.items()))
            if record.active_at + IDLE_SECONDS > now:
                return
            del self._programs[program]
            if record.n_turns:
                self._learn(record)

    def tolerable_wait(self, route: str) -> float:
        """Return how much longer than at low load each turn may take, in seconds.

        Programs that wait this long at every turn still end by their deadline, on
        average.
        """
        slack = self.deadline_seconds(route) - self.needed_seconds(route)
        return max(0.0, slack) / self.turns_per_program(route)

    def deadline_seconds(self, route: str) -> float:
        """Return the mean time from a program's first request to its deadline."""
        prior = PRIOR_DEADLINE_FACTOR * self.needed_seconds(route)
        return self._route(route).deadline.get(prior)

    def needed_seconds(self, route: str) -> float:
        """Return the time of a whole program on lightly loaded targets, in seconds."""
        turns = self.turns_per_program(route)
        other = self._route(route).other_seconds.get(
            PRIOR_OTHER_SECONDS_PER_TURN * turns
        )
        return other + turns * self.low_load_turn_seconds(route)

    def turns_per_program(self, route: str) -> float:
        """Return the mean number of turns of a program."""
        return self._route(route).turns.get(PRIOR_TURNS)

    def low_load_turn_seconds(self, route: str) -> float:
        """Return the mean time of a turn at low load, in seconds."""
        return self._route(route).low_load_turn.get(PRIOR_TURN_SECONDS)

    def turn_seconds(self, route: str) -> float:
        """Return the recent mean time of a turn at any load, in seconds.

        Until a turn of the route has ended, it is the prior.
        """
        return self._route(route).recent_turn.get(PRIOR_TURN_SECONDS)

    def snapshot(self) -> dict[str, list[float]]:
        """Return what is learned by route: count and value of each mean."""
        return {
            route: [part for mean in times.means() for part in (mean.count, mean.value)]
            for route, times in self._routes.items()
        }

    def restore(self, snapshot: Mapping[str, list[float]]) -> None:
        """Replace what is learned of the routes in a snapshot.

        Routes with other than finite numbers of at least 0 are ignored: a snapshot
        comes from another host.
        """
        for route, values in snapshot.items():
            times = _restored_route(values)
            if times is not None:
                self._learning_route(route)
                self._routes[route] = times

    def _route(self, route) -> _RouteTimes:
        return self._routes.get(route, _UNKNOWN_ROUTE)

    def _learning_route(self, route) -> _RouteTimes:
        times = self._routes.get(route)
        if times is None:
            times = self._routes[route] = _RouteTimes()
            if len(self._routes) > MAX_ROUTES:
                self._routes.popitem(last=False)
        else:
            self._routes.move_to_end(route)
        return times

    def _learn(self, record: _ActiveProgram) -> None:
        times = self._learning_route(record.route)
        times.turns.update(record.n_turns)
        elapsed = record.ended_at - record.begun_at
        times.other_seconds.update(max(0.0, elapsed - record.turn_seconds))
        if record.seconds_left is not None:
            times.deadline.update(record.seconds_left)


def _restored_route(values) -> _RouteTimes | None:
    times = _RouteTimes()
    means = times.means()
    try:
        numbers = [float(value) for value in values]
    except (TypeError, ValueError, OverflowError):
        return None
    if len(numbers) != 2 * len(means) or not all(0 <= n < math.inf for n in numbers):
        return None
    for mean, count, value in zip(means, numbers[::2], numbers[1::2], strict=True):
        mean.count, mean.value = min(count, MAX_RESTORED_COUNT), value
    if times.turns.count and times.turns.value < 1:
        return None
    return times
