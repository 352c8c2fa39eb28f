"""Load that an engine reports, late."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoadReport:
    """State of an engine at a time in the past.

    Parameters
    ----------
    measured_at : float
        Time of the measurement, not of its arrival.
    running : int
        Calls in the engine's batch.
    waiting : int
        Calls that the engine took in and does not serve yet.
    cache_capacity_tokens : float
        Memory for histories; 0 when unknown, then new programs are not held back.
    """

    measured_at: float
    running: int
    waiting: int
    cache_capacity_tokens: float = 0.0
