"""How much a host logs."""

from dataclasses import dataclass

LOG_LEVELS = ("debug", "info", "warning", "error")


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Log of a host, one JSON line an event on stderr.

    Parameters
    ----------
    level : str
        One of `LOG_LEVELS`. Requests that went well are logged at ``debug``: at
        load the default stays quiet about them.
    """

    level: str = "info"
