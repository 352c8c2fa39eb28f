"""Order to ask a holder for tokens."""

from dataclasses import dataclass

from swifttide_core.limits._batch import Batch


@dataclass(frozen=True, slots=True)
class DrawOrder:
    """Send one draw, once, then pass its answer to ``EntryRateLimiter.settle``.

    Parameters
    ----------
    customer : str
        Customer whose holder is asked.
    zone : str
        Zone whose holder is asked.
    draw_id : str
        Unique in the life of the entry host's process.
    wanted : float
        Tokens that the entry host can use during a batch's life.
    partial : bool
        Whether less than a whole token is of use.
    spend_seconds : float
        Time within which a single token will be spent.
    returned : tuple of Batch
        Earlier batches of the same holder that are done with, and what is left.
    """

    customer: str
    zone: str
    draw_id: str
    wanted: float
    partial: bool = False
    spend_seconds: float = 0.1
    returned: tuple[Batch, ...] = ()
