"""Tokens that the holder of a customer lends to an entry host for a short time."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Batch:
    """Tokens that one entry host may spend until they expire.

    Parameters
    ----------
    draw_id : str
        Id of the draw that the batch answers. Repeated ids denote the same batch.
    tokens : float
        Number of requests that it admits; in a returned batch, the unspent tokens.
    ttl_seconds : float
        Lifetime, which the entry host counts from the time before it sent the draw.
    """

    draw_id: str
    tokens: float
    ttl_seconds: float
