"""A crash that a request may have caused."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Strike:
    """One target that died under a request.

    Parameters
    ----------
    fingerprint : str
        Of the request.
    target : str
        Target that died.
    incarnation : str
        Incarnation that died; with the target it names the crash, so that the
        same crash reported twice is one strike.
    """

    fingerprint: str
    target: str
    incarnation: str
