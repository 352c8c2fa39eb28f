"""Order to give a batch back."""

from dataclasses import dataclass

from swifttide_core.limits._batch import Batch


@dataclass(frozen=True, slots=True)
class ReturnOrder:
    """Send a batch back to the holder of a customer in a zone.

    Parameters
    ----------
    customer : str
        Customer of the batch.
    zone : str
        Zone whose holder lent it.
    batch : Batch
        With the tokens that were left unspent.
    """

    customer: str
    zone: str
    batch: Batch
