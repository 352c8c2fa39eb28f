"""State of a customer's share that is handed over to the slot's next holder."""

from dataclasses import dataclass

from swifttide_core.limits._batch import Batch


@dataclass(frozen=True, slots=True)
class LentBatch:
    """Batch that an entry host may still use.

    Parameters
    ----------
    entry_host : str
        Host and incarnation that drew the batch.
    batch : Batch
        Batch as it was lent.
    seconds_left : float
        Time until the holder no longer counts the batch as lent.
    """

    entry_host: str
    batch: Batch
    seconds_left: float


@dataclass(frozen=True, slots=True)
class ShareState:
    """State that a planned stop hands over.

    Parameters
    ----------
    level : float
        Tokens that are not lent out.
    lent : tuple of LentBatch
        Batches that are lent out.
    """

    level: float
    lent: tuple[LentBatch, ...]
