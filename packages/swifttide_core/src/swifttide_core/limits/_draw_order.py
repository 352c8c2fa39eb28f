"""Instruction to draw tokens from a holder."""

from dataclasses import dataclass

from swifttide_core.limits._batch import Batch


@dataclass(frozen=True, slots=True)
class DrawOrder:
    """Instruction to send one draw and pass its answer to ``EntryRateLimiter.settle``.

    The draw must be sent only once.

    Parameters
    ----------
    customer : str
        Customer whose tokens are drawn.
    zone : str
        Zone of the holder that is asked.
    draw_id : str
        Id that is unique during the lifetime of the entry host's process.
    wanted : float
        Tokens that the waiting request still needs.
    partial : bool
        Whether fewer tokens than wanted are accepted.
    spend_seconds : float
        Requested lifetime of a token that is spent as soon as it arrives.
    returned : tuple of Batch
        Earlier batches of the same holder that are no longer needed, with their unspent
        tokens.
    """

    customer: str
    zone: str
    draw_id: str
    wanted: float
    partial: bool = False
    spend_seconds: float = 0.1
    returned: tuple[Batch, ...] = ()
