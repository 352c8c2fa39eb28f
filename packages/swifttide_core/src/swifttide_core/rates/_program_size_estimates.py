"""What programs usually take of their customer's rate."""

from collections import OrderedDict
from dataclasses import dataclass

PRIOR_REQUESTS = 6.0
PRIOR_SECONDS = 1.5
"""A few turns with a tool each: small, so that nothing is held back before programs
have been seen."""

PRIOR_PROGRAMS = 2
"""Programs that the figures above count as."""

MIN_UPDATE_WEIGHT = 0.05
"""Weight of the newest program: some twenty programs make the estimate."""

OUTLIER_CAP_FACTOR = 3.0
"""A program counts for so many times the usual at most: one that loops would make all
others look large."""


MAX_KINDS = 256
"""Kinds of programs remembered, some 100 bytes each."""


@dataclass(slots=True)
class ProgramSizeEstimate:
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

    calls: float = PRIOR_REQUESTS
    seconds: float = PRIOR_SECONDS
    n_programs: int = 0

    def update(self, calls: int, seconds: float | None) -> None:
        """Take in a program that has ended; None for a length that tells nothing."""
        self.n_programs += 1
        gain = max(MIN_UPDATE_WEIGHT, 1.0 / (self.n_programs + PRIOR_PROGRAMS))
        self.calls += gain * (
            min(float(calls), OUTLIER_CAP_FACTOR * self.calls) - self.calls
        )
        if seconds is not None:
            seconds = min(seconds, OUTLIER_CAP_FACTOR * self.seconds)
            self.seconds += gain * (seconds - self.seconds)


class ProgramSizeEstimates:
    """Sizes of programs by their kind."""

    def __init__(self):
        self._kinds: OrderedDict[str, ProgramSizeEstimate] = OrderedDict()

    def get(self, kind: str) -> ProgramSizeEstimate:
        """Return what is known of a kind; a guess before any was seen."""
        size = self._kinds.get(kind)
        if size is None:
            size = self._kinds[kind] = ProgramSizeEstimate()
            while len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        return size
