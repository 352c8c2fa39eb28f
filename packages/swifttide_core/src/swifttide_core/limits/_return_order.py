"""Instruction to return a batch to its holder."""

from dataclasses import dataclass

from swifttide_core.limits._batch import Batch


@dataclass(frozen=True, slots=True)
class ReturnOrder:
    """Instruction to return a batch to the holder that lent it.

    Parameters
    ----------
    customer : str
        Customer of the batch.
    zone : str
        Zone whose holder lent it.
    batch : Batch
        Batch with its unspent tokens.
    """

    customer: str
    zone: str
    batch: Batch
