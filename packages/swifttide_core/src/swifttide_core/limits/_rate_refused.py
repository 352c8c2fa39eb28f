"""Refusal of a request that is beyond its customer's rate."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class RateRefused:
    """No token now; final for this request, which has not run.

    Parameters
    ----------
    retry_after_seconds : float
        When the next token is there, if nobody takes it first.
    available : float
        Part of a token that the refusing holder has, for joining with the parts
        that other zones have.
    rate : float
        Tokens a second that come in at the refusing holder.
    fraction : float
        Part of the customer's rate and burst that it speaks for.
    others : mapping of str to RateRefused
        What it knows of other zones that are empty as well.
    """

    retry_after_seconds: float
    available: float = 0.0
    rate: float = 0.0
    fraction: float = 0.0
    others: Mapping[str, "RateRefused"] = field(default_factory=dict)
