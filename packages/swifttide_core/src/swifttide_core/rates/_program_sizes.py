"""What programs usually take of their customer's rate."""

from collections import OrderedDict
from dataclasses import dataclass

PRIOR_CALLS = 6.0
PRIOR_SECONDS = 1.5
"""A few turns with a tool each: small, so that nothing is held back before programs
have been seen."""

PRIOR_WEIGHT = 2
"""Programs that the figures above count as."""

GAIN = 0.05
"""Weight of the newest program: some twenty programs make the estimate."""

MAX_TIMES = 3.0
"""A program counts for so many times the usual at most: one that loops would make all
others look large."""


MAX_KINDS = 256
"""Kinds of programs remembered, some 100 bytes each."""


@dataclass(slots=True)
class ProgramSize:
    """Means over the programs of one kind that a host has seen to their end.

    Parameters
    ----------
    calls : float
        Requests of a program.
    seconds : float
        From its first to its last, where none of them waited.
    n_seen : int
        Programs seen to their end.
    """

    calls: float = PRIOR_CALLS
    seconds: float = PRIOR_SECONDS
    n_seen: int = 0

    def note(self, calls: int, seconds: float | None) -> None:
        """Take in a program that has ended; None for a length that tells nothing."""
        self.n_seen += 1
        gain = max(GAIN, 1.0 / (self.n_seen + PRIOR_WEIGHT))
        self.calls += gain * (min(float(calls), MAX_TIMES * self.calls) - self.calls)
        if seconds is not None:
            seconds = min(seconds, MAX_TIMES * self.seconds)
            self.seconds += gain * (seconds - self.seconds)


class ProgramSizes:
    """Sizes of programs by their kind."""

    def __init__(self):
        self._kinds: OrderedDict[str, ProgramSize] = OrderedDict()

    def of(self, kind: str) -> ProgramSize:
        """Return what is known of a kind; a guess before any was seen."""
        size = self._kinds.get(kind)
        if size is None:
            size = self._kinds[kind] = ProgramSize()
            while len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        return size
