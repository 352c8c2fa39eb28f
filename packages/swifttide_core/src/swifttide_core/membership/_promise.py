"""What a host answers to one that can't renew its lease."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Promise:
    """The host sees no platform and deposes and claims nothing for a while.

    Parameters
    ----------
    host : str
        Host that promises.
    seconds : float
        For how long, counted by the asker from before it asked.
    """

    host: str
    seconds: float


@dataclass(frozen=True, slots=True)
class PlatformSeen:
    """The host sees the platform and relays the renewal instead.

    Parameters
    ----------
    host : str
        Host that can relay.
    """

    host: str
