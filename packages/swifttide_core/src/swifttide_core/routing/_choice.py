"""Results of the router."""

from dataclasses import dataclass

from swifttide_core.verdicts import Refusal


@dataclass(frozen=True, slots=True)
class Choice:
    """Selected target of a call.

    Parameters
    ----------
    target : str
        Id of the target.
    zone : str
        Availability zone of the target.
    cached_tokens : int
        Length of the prompt prefix that the target is expected to have cached.
    expected_seconds : float
        Estimated time until the first token.
    """

    target: str
    zone: str
    cached_tokens: int
    expected_seconds: float


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target is eligible for the call.

    Parameters
    ----------
    refusal : Refusal
        Refusal with verdict ``not_run`` and a retry-after time.
    """

    refusal: Refusal
