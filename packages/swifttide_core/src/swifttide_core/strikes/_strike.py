"""Crash of a target that a request may have caused."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Strike:
    """Crash of one target while it executed a request.

    Parameters
    ----------
    fingerprint : str
        Fingerprint of the request.
    target : str
        Target that crashed.
    incarnation : str
        Incarnation that crashed. Together with the target, it identifies the crash, so
        that repeated reports of a crash count as one strike.
    """

    fingerprint: str
    target: str
    incarnation: str
