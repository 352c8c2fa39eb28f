"""How a host learns of edits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigSettings:
    """Configuration polling.

    Parameters
    ----------
    poll_seconds : float
        Time between reads of the head row.
    """

    poll_seconds: float = 1.0
