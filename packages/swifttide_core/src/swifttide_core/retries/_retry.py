"""Decision to try again."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Retry:
    """Try again, at another target where there is one.

    Parameters
    ----------
    after_seconds : float
        Pause before it.
    """

    after_seconds: float
