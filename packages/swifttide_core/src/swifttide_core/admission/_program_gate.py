"""Letting new programs in only as fast as targets can finish them.

Load pattern: programs of several turns come faster than targets can finish them, in a
burst, after targets have left, or all at once after a loss of hosts. Targets queue what
they can't run, and know nothing of programs.

Without it: every program goes on, a turn at a time, each behind the turns of all
others. Past the limit each program takes longer than anybody waits for it, so that
targets are busy with work that is given up half done and asked for again, and nearly no
program ends in time. Once there, it stays so after the cause is gone, as long as about
as much is asked for as targets can do.

Grounds: a program that is under way has used time of a target, a new one has cost
nothing yet. New programs are let in up to a share that follows how full the targets
are. Which ones belong to the share is drawn from the program's id, alike at all hosts
and at each try: with a free place given to whoever asks at that moment, half of those
let in have been turned away before and start too late to end in time.
"""

from dataclasses import dataclass

import xxhash

SETPOINT_LOAD = 1.0
"""Requests under way for each place at which the share stays as it is: with fewer,
targets idle between turns; with more, turns wait in the targets' queues."""

MAX_LOAD = 1.25
"""Load at which nobody is let in: the share takes seconds to follow a burst."""

IDLE_LOAD = 0.7
"""Load below which the share grows fast: a burst has passed, and whoever is turned away
then finds targets idle."""

GAIN_PER_SECOND = 0.2
"""Change of the share in a second, for a load that is off by one; relative to the share
but on idle targets. Programs let in now fill places for seconds: a faster share would
swing between too many and too few, and more so the more is asked for."""

MAX_LOAD_ERROR = 1.0
"""Bounds the load's distance from its aim, so that one look decides little."""

MIN_ADMITTED_FRACTION = 0.03
"""Some always get in: what targets bear must be found out again."""

UPDATE_INTERVAL_SECONDS = 0.1
"""Between two looks at the load; counts of other hosts come five times a second."""

MAX_STEP_SECONDS = 0.5
"""Longest time for which one look counts: a host without turns knows little."""

MIN_RETRY_SECONDS = 0.2
"""Time to come back for a program of the share: places go free with each turn."""

MAX_RETRY_SECONDS = 1.2
"""Likewise for the others; the share may have grown by then."""

HASH_RANGE = float(1 << 64)


@dataclass(frozen=True, slots=True)
class ProgramAdmitted:
    """The program may begin."""


@dataclass(frozen=True, slots=True)
class ProgramRefused:
    """The program has not begun.

    Parameters
    ----------
    retry_seconds : float
        When to come back.
    """

    retry_seconds: float


class ProgramGate:
    """Decides at one host whether a new program may begin at a service.

    Loads are the requests known to be at the service's targets, from all hosts, for
    each place there.
    """

    def __init__(self):
        self._admitted_fraction = 1.0
        self._updated_at: float | None = None

    @property
    def admitted_fraction(self) -> float:
        """Part of the new programs that is let in."""
        return self._admitted_fraction

    def needs_update(self, now: float) -> bool:
        """Whether the load should be told again; ``now`` in monotonic seconds."""
        return (
            self._updated_at is None
            or now - self._updated_at >= UPDATE_INTERVAL_SECONDS
        )

    def update_load(self, now: float, load: float) -> None:
        """Follow the load.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        load : float
        """
        if self._updated_at is not None:
            seconds = min(MAX_STEP_SECONDS, max(0.0, now - self._updated_at))
            error = max(-MAX_LOAD_ERROR, min(MAX_LOAD_ERROR, SETPOINT_LOAD - load))
            scale = 1.0 if load < IDLE_LOAD else self._admitted_fraction
            share = self._admitted_fraction + GAIN_PER_SECOND * seconds * error * scale
            self._admitted_fraction = min(1.0, max(MIN_ADMITTED_FRACTION, share))
        self._updated_at = now

    def decide(self, load: float, program: str) -> ProgramAdmitted | ProgramRefused:
        """Let a new program in or turn it away.

        Parameters
        ----------
        load : float
        program : str
            Key of the program, the same at all hosts.
        """
        rank = xxhash.xxh3_64_intdigest(program.encode()) / HASH_RANGE
        if rank >= self._admitted_fraction:
            return ProgramRefused(MAX_RETRY_SECONDS)
        if load >= MAX_LOAD:
            return ProgramRefused(MIN_RETRY_SECONDS)
        return ProgramAdmitted()
