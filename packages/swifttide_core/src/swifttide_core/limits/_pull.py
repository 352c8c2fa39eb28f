"""Question of one zone's holder to another's."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Pull:
    """Order to ask the holder in another zone to level out.

    Parameters
    ----------
    zone : str
        Zone whose holder is asked.
    draw_id : str
        Unique in the life of the asking process.
    level : float
        Tokens that the asking holder has.
    burst : float
        Most that its share holds.
    room : float
        Level that it may have now.
    """

    zone: str
    draw_id: str
    level: float
    burst: float
    room: float
