"""The part of a caller's chat turn that decides on its order."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TurnRequest:
    """Number and body hash of a turn as its caller sent it.

    Parameters
    ----------
    turn : int or None
        Number that the caller gave, starting at 1; None for the next turn.
    body_hash : str
        Hash of the request's body.
    gaps : bool
        Whether earlier turns may be missing from the row. If the caller holds the
        history of the program, turns run without being recorded while the platform is
        unreachable.
    """

    turn: int | None
    body_hash: str
    gaps: bool = False
