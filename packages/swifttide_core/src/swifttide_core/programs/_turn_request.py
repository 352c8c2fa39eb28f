"""A chat turn as a caller sent it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TurnRequest:
    """What decides whether a turn may start.

    Parameters
    ----------
    turn : int or None
        Number that the caller gave, from 1; None for "the next one".
    body_hash : str
        Hash of the request's body.
    gaps : bool
        Whether turns may be missing from the row: those of a program whose callers
        hold its history ran unrecorded while the platform was away.
    """

    turn: int | None
    body_hash: str
    gaps: bool = False
