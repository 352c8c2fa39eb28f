"""Answers of the router."""

from dataclasses import dataclass

from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class Choice:
    """Where the call goes.

    Parameters
    ----------
    target : str
        Id of the target.
    zone : str
        Its availability zone.
    cached_tokens : int
        Prefix that it is believed to hold.
    expected_seconds : float
        Estimated time until the first token.
    """

    target: str
    zone: str
    cached_tokens: int
    expected_seconds: float


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target may take the call.

    Parameters
    ----------
    refusal : Refusal
        Always ``not_run``, with when to come back.
    """

    refusal: Refusal
