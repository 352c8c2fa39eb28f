"""Estimates of the number of requests and the duration of programs.

The estimates are exponentially weighted means over completed programs, kept for each
kind of program. The admission of new programs to a customer's rate is based on them.
"""

from collections import OrderedDict
from dataclasses import dataclass

PRIOR_REQUESTS = 6.0
PRIOR_SECONDS = 1.5
"""Prior estimates of requests and duration: a few turns with one tool call each. They
are small, so that no program is delayed before any program has completed."""

PRIOR_PROGRAMS = 2
"""Weight of the prior estimates, in completed programs."""

MIN_UPDATE_WEIGHT = 0.05
"""Smallest weight of the newest program. The estimate averages over some twenty
programs."""

OUTLIER_CAP_FACTOR = 3.0
"""Multiple of the current estimate at which a new observation is capped. Otherwise one
program in an endless loop would inflate the estimate for all others."""


MAX_KINDS = 256
"""Largest number of kinds with an estimate, some 100 bytes each; the least recently
used one is evicted."""


@dataclass(slots=True)
class ProgramSizeEstimate:
    """Weighted means over the completed programs of one kind at one host.

    Parameters
    ----------
    calls : float
        Requests of a program.
    seconds : float
        Time from the first request of a program to its last one, over programs none of
        whose requests waited for a token.
    n_programs : int
        Number of completed programs.
    """

    calls: float = PRIOR_REQUESTS
    seconds: float = PRIOR_SECONDS
    n_programs: int = 0

    def update(self, calls: int, seconds: float | None) -> None:
        """Add a completed program; `seconds` is None if its duration is not usable."""
        self.n_programs += 1
        gain = max(MIN_UPDATE_WEIGHT, 1.0 / (self.n_programs + PRIOR_PROGRAMS))
        self.calls += gain * (
            min(float(calls), OUTLIER_CAP_FACTOR * self.calls) - self.calls
        )
        if seconds is not None:
            seconds = min(seconds, OUTLIER_CAP_FACTOR * self.seconds)
            self.seconds += gain * (seconds - self.seconds)


class ProgramSizeEstimates:
    """Size estimates by kind of program."""

    def __init__(self):
        self._kinds: OrderedDict[str, ProgramSizeEstimate] = OrderedDict()

    def get(self, kind: str) -> ProgramSizeEstimate:
        """Return the estimate of a kind; the prior one before any has completed."""
        size = self._kinds.get(kind)
        if size is None:
            size = self._kinds[kind] = ProgramSizeEstimate()
            while len(self._kinds) > MAX_KINDS:
                self._kinds.popitem(last=False)
        self._kinds.move_to_end(kind)
        return size
