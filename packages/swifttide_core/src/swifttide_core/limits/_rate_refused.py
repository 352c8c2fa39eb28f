"""Refusal of a request that exceeds the rate of its customer."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RateRefused:
    """No token is available; the refusal is final and the request was not executed.

    Parameters
    ----------
    retry_after_seconds : float
        Time until the next token is available if no other request takes it.
    available : float
        Fraction of a token that the refusing holder has. Fractions of several zones can
        be combined into a whole token.
    rate : float
        Refill rate at the refusing holder, in tokens per second.
    fraction : float
        Fraction of the customer's rate and burst that the refusing holder manages.
    others : mapping of str to RateRefused
        Cached refusals of other zones, by zone.
    """

    retry_after_seconds: float
    available: float = 0.0
    rate: float = 0.0
    fraction: float = 0.0
    others: Mapping[str, "RateRefused"] = field(default_factory=dict)
