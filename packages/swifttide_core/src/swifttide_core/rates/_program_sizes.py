"""What programs usually take of their customer's rate."""

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


@dataclass(slots=True)
class ProgramSizes:
    """Means over the programs that one host has seen to their end.

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
