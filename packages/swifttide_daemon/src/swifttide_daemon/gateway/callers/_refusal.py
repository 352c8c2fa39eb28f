"""Answers of our own instead of a target's."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Refusal(Exception):
    """A request is answered without a target's answer.

    Parameters
    ----------
    status : int
        429 and 503 promise that the request hasn't run and never will.
    reason : str
        For the caller and the log.
    retry_after : float or None
        Seconds after which to come back; None where that would be in vain.
    """

    status: int
    reason: str
    retry_after: float | None = None
