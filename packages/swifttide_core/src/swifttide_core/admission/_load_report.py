"""Load report of an engine, which arrives seconds after its measurement."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an engine at a time in the past.

    Parameters
    ----------
    measured_at : float
        Time of the measurement, not of its arrival, in monotonic seconds.
    running : int
        Number of calls in the engine's batch.
    waiting : int
        Number of calls that the engine has accepted but does not serve yet.
    cache_capacity_tokens : float
        Memory for the histories of programs. 0 when unknown; new programs are then
        not held back for lack of memory.
    """

    measured_at: float
    running: int
    waiting: int
    cache_capacity_tokens: float = 0.0
