"""How a host learns of edits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigSettings:
    """Configuration polling.

    Parameters
    ----------
    poll_seconds : float
        Time between reads of the head row.
    max_stale_seconds : float
        How long a host that reaches neither the platform nor a host that does goes
        on with the keys that it knows.
    """

    poll_seconds: float = 1.0
    max_stale_seconds: float = 3600.0
