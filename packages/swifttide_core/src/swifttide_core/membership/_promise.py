"""Answers to a host that cannot renew its lease and requests an extension."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Promise:
    """The host cannot reach the platform; it will depose no host and claim no slot.

    Parameters
    ----------
    host : str
        Id of the promising host.
    seconds : float
        Duration of the promise. The asking host counts it from before its request.
    """

    host: str
    seconds: float


@dataclass(frozen=True, slots=True)
class PlatformSeen:
    """The host reaches the platform and can relay the renewal instead.

    Parameters
    ----------
    host : str
        Id of the host that can relay the renewal.
    """

    host: str
