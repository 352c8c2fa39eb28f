"""Tokens that a holder lends to an entry host for a short time."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Batch:
    """Tokens that one entry host may spend until they expire.

    Parameters
    ----------
    draw_id : str
        The draw that it answers; the same id twice is the same batch.
    tokens : float
        Requests that it admits; when given back, what was left unspent.
    ttl_seconds : float
        Validity, counted by the entry host from BEFORE it sent the draw.
    """

    draw_id: str
    tokens: float
    ttl_seconds: float
