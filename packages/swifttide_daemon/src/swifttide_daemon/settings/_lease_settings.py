"""How long a host's lease lasts and how often it is renewed."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Lease of a host on its slots.

    Parameters
    ----------
    lease_seconds : float
        Span from the sending of a renewal to its lapse.
    renew_seconds : float
        Time between renewals. Two fit in a lease besides the margin, so that one
        lost renewal costs no slot.
    drift_margin_seconds : float
        A holder stops so much before the lapse and a taker waits so much after it,
        for clocks that run at different speeds.
    """

    lease_seconds: float = 6.0
    renew_seconds: float = 2.0
    drift_margin_seconds: float = 1.0
