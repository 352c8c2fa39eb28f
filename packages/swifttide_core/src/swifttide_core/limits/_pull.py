"""Request of one zone's holder for tokens of another zone's holder."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pull:
    """Instruction to ask the holder in another zone to equalize the fill levels.

    Parameters
    ----------
    zone : str
        Zone whose holder is asked.
    draw_id : str
        Id that is unique during the lifetime of the asking process.
    level : float
        Tokens in the bucket of the asking holder.
    burst : float
        Burst of its share, in tokens.
    room : float
        Maximum level that its bucket may have now: the burst less the lent tokens.
    """

    zone: str
    draw_id: str
    level: float
    burst: float
    room: float
