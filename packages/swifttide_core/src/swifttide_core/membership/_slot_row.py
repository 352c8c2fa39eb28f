"""Row of a slot in the platform's table ``slots``."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotRow:
    """Row that names the holder of a slot, the host that decides for it.

    Parameters
    ----------
    slot : int
        Number of the slot in its zone.
    host, incarnation : str
        Id and incarnation of the holder; empty after the slot was handed over.
    epoch : int
        Increases with each claim. It is the fencing token of all orders and records.
    version : int
        Version of the row. Each write of the holder is conditional on it.
    """

    slot: int
    host: str = ""
    incarnation: str = ""
    epoch: int = 0
    version: int = 0
