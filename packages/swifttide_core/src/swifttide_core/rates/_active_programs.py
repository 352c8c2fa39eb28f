"""Whether a customer's rate carries another program.

Load pattern: a customer begins more programs than its rate can finish; each makes some
twenty requests, several at a time.

Without it: new programs take the tokens of those under way, all wait for each other,
and most end late or fail at a request that is refused after all that was spent on them.

Grounds: what programs take is learned from those seen to their end. A program that has
made as many requests as is usual goes on for a part of that: who has taken more than
others mostly takes still more.
"""

from dataclasses import dataclass

from swifttide_core.rates._program_size_estimates import ProgramSizeEstimates

PROGRAM_IDLE_SECONDS = 1.2
"""A program without a request for so long has ended: a turn takes some 0.4 s and the
pause after it 0.25 s at most."""

ADMISSION_HORIZON_FACTOR = 1.3
"""Times the usual length in which programs may be carried to their end: callers allow
half as long again."""

MIN_REMAINING_FRACTION = 0.25
"""Part of the usual number of requests that any program under way is expected to make
still."""

MAX_RETRY_SECONDS = 1.0
"""Longest time that a new program is told to stay away: most programs end sooner."""


@dataclass(slots=True)
class _ActiveProgram:
    kind: str
    calls: int
    began_at: float
    seen_at: float
    has_waited: bool = False


class ActivePrograms:
    """Programs of one customer that are under way.

    Parameters
    ----------
    sizes : ProgramSizes
        Shared by all customers of a host.
    """

    def __init__(self, sizes: ProgramSizeEstimates):
        self._sizes = sizes
        self._programs: dict[str, _ActiveProgram] = {}

    def is_active(self, program: str) -> bool:
        """Whether a program has made requests of late."""
        return program in self._programs

    def record_request(
        self, program: str, has_waited: bool, now: float, kind: str = ""
    ) -> None:
        """Count a request of a program.

        Parameters
        ----------
        program : str
        has_waited : bool
            Whether there was no token for it at once.
        now : float
        kind : str
            Of the program, which its first request tells.
        """
        known = self._programs.get(program)
        if known is None:
            known = self._programs[program] = _ActiveProgram(kind, 0, now, now)
        known.calls += 1
        known.seen_at = now
        known.has_waited |= has_waited

    def seconds_until_admission(
        self,
        level: float,
        rate: float,
        now: float,
        kind: str = "",
    ) -> float:
        """Return when a new program may be let in; 0 for now.

        Parameters
        ----------
        level : float
            Tokens that are there.
        rate : float
            Tokens that come in a second.
        now : float
        kind : str
            Of the new program.
        """
        self._remove_ended(now)
        if not self._programs or rate <= 0.0:
            return 0.0
        usual = self._sizes.get(kind)
        needed = usual.calls + sum(
            self._remaining_requests(p) for p in self._programs.values()
        )
        carried = level + rate * usual.seconds * ADMISSION_HORIZON_FACTOR
        return min(MAX_RETRY_SECONDS, max(0.0, needed - carried) / rate)

    def _remaining_requests(self, program) -> float:
        """Return the requests that a program under way is expected to make still."""
        usual = self._sizes.get(program.kind).calls
        return max(usual * MIN_REMAINING_FRACTION, usual - program.calls)

    def _remove_ended(self, now):
        """Drop programs that have ended, and learn from them."""
        for name, program in list(self._programs.items()):
            if now - program.seen_at >= PROGRAM_IDLE_SECONDS:
                del self._programs[name]
                # Programs that waited for tokens would make any number of others
                # seem to fit in beside them.
                length = program.seen_at - program.began_at
                size = self._sizes.get(program.kind)
                size.update(program.calls, None if program.has_waited else length)
