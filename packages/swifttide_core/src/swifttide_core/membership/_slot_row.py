"""The row of a slot in the platform's table ``slots``."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotRow:
    """Who decides for a slot.

    Parameters
    ----------
    slot : int
        Number of the slot in its zone.
    host, incarnation : str
        Holder; empty after it was handed back.
    epoch : int
        Grows with each claim; the fencing number of every order and record.
    version : int
        Version of the row; every write of the holder is conditional on it.
    """

    slot: int
    host: str = ""
    incarnation: str = ""
    epoch: int = 0
    version: int = 0
