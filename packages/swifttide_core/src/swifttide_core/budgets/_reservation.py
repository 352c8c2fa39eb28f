"""Part of a budget that is held for one turn or call."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Reservation:
    """What one turn or call may still use.

    Parameters
    ----------
    tokens : int
        Its maximum.
    unknown : bool
        Whether its outcome is unknown, so that it stays reserved.
    """

    tokens: int
    unknown: bool = False
