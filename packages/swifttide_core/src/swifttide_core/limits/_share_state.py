"""A customer's share on its way to the slot's next holder."""

from dataclasses import dataclass

from swifttide_core.limits._batch import Batch


@dataclass(frozen=True, slots=True)
class LentBatch:
    """A batch that an entry host may still use.

    Parameters
    ----------
    entry_host : str
        Host and incarnation that drew it.
    batch : Batch
        As it was lent.
    seconds_left : float
        Until the holder no longer counts it.
    """

    entry_host: str
    batch: Batch
    seconds_left: float


@dataclass(frozen=True, slots=True)
class ShareState:
    """What a planned stop hands over.

    Parameters
    ----------
    level : float
        Tokens that are not lent out.
    lent : tuple of LentBatch
        Batches that are.
    """

    level: float
    lent: tuple[LentBatch, ...]
