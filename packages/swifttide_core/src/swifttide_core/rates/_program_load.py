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

from swifttide_core.rates._program_sizes import ProgramSizes

IDLE_SECONDS = 1.2
"""A program without a request for so long has ended: a turn takes some 0.4 s and the
pause after it 0.25 s at most."""

STRETCH = 1.3
"""Times the usual length in which programs may be carried to their end: callers allow
half as long again."""

LEAST_LEFT = 0.25
"""Part of the usual number of requests that any program under way is expected to make
still."""

MAX_WAIT_SECONDS = 1.0
"""Longest time that a new program is told to stay away: most programs end sooner."""


@dataclass(slots=True)
class _UnderWay:
    kind: str
    calls: int
    began_at: float
    seen_at: float
    has_waited: bool = False


class ProgramLoad:
    """Programs of one customer that are under way.

    Parameters
    ----------
    sizes : ProgramSizes
        Shared by all customers of a host.
    """

    def __init__(self, sizes: ProgramSizes):
        self._sizes = sizes
        self._programs: dict[str, _UnderWay] = {}

    def knows(self, program: str) -> bool:
        """Whether a program has made requests of late."""
        return program in self._programs

    def note(self, program: str, has_waited: bool, now: float, kind: str = "") -> None:
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
            known = self._programs[program] = _UnderWay(kind, 0, now, now)
        known.calls += 1
        known.seen_at = now
        known.has_waited |= has_waited

    def seconds_until_room(
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
        self._forget(now)
        if not self._programs or rate <= 0.0:
            return 0.0
        usual = self._sizes.of(kind)
        needed = usual.calls + sum(self._left(p) for p in self._programs.values())
        carried = level + rate * usual.seconds * STRETCH
        return min(MAX_WAIT_SECONDS, max(0.0, needed - carried) / rate)

    def _left(self, program) -> float:
        """Return the requests that a program under way is expected to make still."""
        usual = self._sizes.of(program.kind).calls
        return max(usual * LEAST_LEFT, usual - program.calls)

    def _forget(self, now):
        """Drop programs that have ended, and learn from them."""
        for name, program in list(self._programs.items()):
            if now - program.seen_at >= IDLE_SECONDS:
                del self._programs[name]
                # Programs that waited for tokens would make any number of others
                # seem to fit in beside them.
                length = program.seen_at - program.began_at
                size = self._sizes.of(program.kind)
                size.note(program.calls, None if program.has_waited else length)
