"""Admission of new programs at the rate at which targets can finish them.

Programs of several turns can arrive faster than targets finish them: in a burst, after
targets have been removed, or all at once after a loss of hosts. Targets queue the
requests that they can't run, and do not know which program a request belongs to.

Without this module all programs proceed one turn at a time, each turn behind those of
all other programs. In overload each program then takes longer than its caller waits.
Targets are busy with programs that are abandoned half finished and started again, and
nearly no program ends in time. This state lasts after its cause is gone, for as long as
the offered load is about the capacity of the targets.

A program that has started has used time of a target, while a new one has cost nothing
yet. The gate therefore refuses new programs only. It admits a fraction of them, which a
controller adapts to the load of the targets. A hash of the program's id decides whether
it belongs to that fraction, with the same result at all hosts and for each retry. If a
free place went to whoever asks at that moment, half of the admitted programs would have
been refused before, and would start too late to end in time.

A place is one request that a target runs concurrently. Load is the number of
outstanding requests per place.
"""

from dataclasses import dataclass

import xxhash

SETPOINT_REQUESTS_PER_PLACE = 1.0
"""Load at which the admitted fraction stays the same. Below it targets idle between
turns; above it turns wait in the targets' queues."""

MAX_REQUESTS_PER_PLACE = 1.25
"""Load from which on no program is admitted, because the admitted fraction takes
seconds to follow a burst."""

IDLE_REQUESTS_PER_PLACE = 0.7
"""Load below which the admitted fraction grows by a fixed rate instead of in proportion
to itself: a burst has passed, and programs would be refused while targets idle."""

GAIN_PER_SECOND = 0.2
"""Change of the admitted fraction per second and per unit of load error. The change is
relative to the fraction, except on idle targets. Admitted programs occupy places for
seconds, so a higher gain would make the fraction oscillate, the more so the higher the
offered load is."""

MAX_LOAD_ERROR = 1.0
"""Bound of the difference between load and setpoint, which limits the effect of a
single update."""

MIN_ADMITTED_FRACTION = 0.03
"""Lower bound of the admitted fraction. Some programs are always admitted, as otherwise
it would never be found out that targets can take load again."""

UPDATE_INTERVAL_SECONDS = 0.1
"""Minimum time between two updates; other hosts report their requests five times a
second."""

MAX_STEP_SECONDS = 0.5
"""Longest time that one update accounts for: a host that had no turns for longer does
not know the load in between."""

MIN_RETRY_SECONDS = 0.2
"""Retry time of a program that belongs to the admitted fraction: a place becomes free
with each turn that ends."""

MAX_RETRY_SECONDS = 1.2
"""Retry time of a program outside of the admitted fraction, which may have grown by
then."""

HASH_RANGE = float(1 << 64)
"""Number of values of the 64-bit hash of a program's id."""


@dataclass(frozen=True, slots=True)
class ProgramAdmitted:
    """The program may start."""


@dataclass(frozen=True, slots=True)
class ProgramRefused:
    """The program was refused and has not started.

    Parameters
    ----------
    retry_seconds : float
        Time until the caller should retry.
    """

    retry_seconds: float


class ProgramGate:
    """Decides at one host whether a new program may start at a service.

    Load is the number of outstanding requests of all hosts at the service's targets, as
    far as this host knows them, divided by the number of places there.
    """

    def __init__(self):
        self._admitted_fraction = 1.0
        self._updated_at: float | None = None

    @property
    def admitted_fraction(self) -> float:
        """Fraction of the new programs that is admitted, in [0, 1]."""
        return self._admitted_fraction

    def needs_update(self, now: float) -> bool:
        """Return whether `update_load` is due; ``now`` in monotonic seconds."""
        return (
            self._updated_at is None
            or now - self._updated_at >= UPDATE_INTERVAL_SECONDS
        )

    def update_load(self, now: float, load: float) -> None:
        """Adapt the admitted fraction to the current load.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        load : float
            Outstanding requests per place.
        """
        if self._updated_at is not None:
            seconds = min(MAX_STEP_SECONDS, max(0.0, now - self._updated_at))
            error = max(
                -MAX_LOAD_ERROR, min(MAX_LOAD_ERROR, SETPOINT_REQUESTS_PER_PLACE - load)
            )
            scale = 1.0 if load < IDLE_REQUESTS_PER_PLACE else self._admitted_fraction
            fraction = (
                self._admitted_fraction + GAIN_PER_SECOND * seconds * error * scale
            )
            self._admitted_fraction = min(1.0, max(MIN_ADMITTED_FRACTION, fraction))
        self._updated_at = now

    def decide(self, load: float, program: str) -> ProgramAdmitted | ProgramRefused:
        """Admit or refuse a new program.

        Parameters
        ----------
        load : float
            Outstanding requests per place.
        program : str
            Key of the program, the same at all hosts.
        """
        rank = xxhash.xxh3_64_intdigest(program.encode()) / HASH_RANGE
        if rank >= self._admitted_fraction:
            return ProgramRefused(MAX_RETRY_SECONDS)
        if load >= MAX_REQUESTS_PER_PLACE:
            return ProgramRefused(MIN_RETRY_SECONDS)
        return ProgramAdmitted()
