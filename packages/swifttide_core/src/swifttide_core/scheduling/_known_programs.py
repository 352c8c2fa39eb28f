"""Programs that the scheduler of a service knows: admitted, refused or under way.

Load pattern: in a burst, refused programs return at times of their callers' choosing,
and the first turn of an admitted program is placed some milliseconds after its
admission. Without this record, programs that return would compete anew with those that
just arrived, and a herd could be admitted before any of its turns is seen.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass

from swifttide_core.scheduling._work_class import WorkClass

ENTRY_HOLD_SECONDS = 0.5
"""Time for which an admitted program counts as one turn until its first turn is placed.
Its host may wait that long for the customer's rate or the program's budget."""

RESERVATION_SECONDS = 0.5
"""Time for which a slot is reserved for a refused program after the announced time.
Callers add a random delay of up to some tenths of a second."""

PROGRAM_RETENTION_SECONDS = 10.0
"""Time for which a program is remembered after its last request."""

MAX_REMEMBERED_PROGRAMS = 20_000
"""Maximum number of remembered programs, about 300 bytes each."""


@dataclass(slots=True)
class KnownProgram:
    """State of one program.

    Parameters
    ----------
    first_seconds_left : float
        Time that was left until its deadline when it first asked; 0 if unknown.
    last_seen_at : float
        Monotonic seconds.
    work : WorkClass
    is_admitted : bool
    entering_until : float
        Until then an admitted program counts as one turn.
    reserved_from : float or None
        Announced time from which a slot is reserved; None without a reservation.
    """

    first_seconds_left: float
    last_seen_at: float
    work: WorkClass
    is_admitted: bool = False
    entering_until: float = 0.0
    reserved_from: float | None = None


class KnownPrograms:
    """Records of programs by key, the least recently seen first.

    All times named ``now`` are monotonic seconds.
    """

    def __init__(self):
        self._programs: OrderedDict[str, KnownProgram] = OrderedDict()
        self._entering: dict[str, KnownProgram] = {}
        self._reserved: dict[str, KnownProgram] = {}

    def touch(
        self, program: str, work: WorkClass, seconds_left: float, now: float
    ) -> KnownProgram:
        """Return the record of a program, and remove records that are too old."""
        known = self._programs.get(program)
        if known is None:
            known = self._programs[program] = KnownProgram(seconds_left, now, work)
        known.last_seen_at = now
        known.work = work
        known.first_seconds_left = max(known.first_seconds_left, seconds_left)
        self._programs.move_to_end(program)
        while self._programs:
            key, oldest = next(iter(self._programs.items()))
            is_old = now - oldest.last_seen_at > PROGRAM_RETENTION_SECONDS
            if not is_old and len(self._programs) <= MAX_REMEMBERED_PROGRAMS:
                break
            self._programs.popitem(last=False)
            self._entering.pop(key, None)
            self._reserved.pop(key, None)
        return known

    def admit(self, program: str, now: float) -> None:
        """Admit a program; it counts as one turn until its first turn is placed."""
        known = self._programs[program]
        known.is_admitted = True
        known.entering_until = now + ENTRY_HOLD_SECONDS
        known.reserved_from = None
        self._entering[program] = known
        self._reserved.pop(program, None)

    def begin(self, program: str) -> None:
        """Record that a turn of a program is placed."""
        self._programs[program].is_admitted = True
        self._entering.pop(program, None)
        self._reserved.pop(program, None)

    def reserve(self, program: str, start: float) -> None:
        """Reserve a slot for a refused program from a time on."""
        known = self._programs[program]
        known.reserved_from = start
        self._reserved[program] = known

    def n_reserved(self) -> int:
        """Return the number of refused programs that have a reservation."""
        return len(self._reserved)

    def has_reservation(self, program: str, now: float) -> bool:
        """Return whether a slot is reserved for a program now."""
        known = self._reserved.get(program)
        return known is not None and known.reserved_from <= now

    def cancel(self, program: str) -> None:
        """Drop the admission or reservation of a program whose caller has left."""
        known = self._entering.pop(program, None)
        if known is not None:
            known.is_admitted = False
        self._reserved.pop(program, None)

    def expire(self, now: float) -> None:
        """Drop admissions and reservations that weren't used in time."""
        for program, known in list(self._entering.items()):
            if known.entering_until <= now:
                del self._entering[program]
        for program, known in list(self._reserved.items()):
            if known.reserved_from + RESERVATION_SECONDS <= now:
                del self._reserved[program]
                known.reserved_from = None

    def count_entering(self) -> dict[int, float]:
        """Return the slots held for admitted programs without a turn yet, by rank."""
        counts = Counter(known.work.rank for known in self._entering.values())
        return {rank: float(n) for rank, n in counts.items()}

    def reservations(self) -> list[tuple[WorkClass, float]]:
        """Return the class of each reservation and the time from which it holds."""
        return [(known.work, known.reserved_from) for known in self._reserved.values()]
