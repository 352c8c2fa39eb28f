"""Bound on the pieces of a message, by the bytes that they carry.

It serves senders that split a message into very many small pieces, such as chunks of
one byte. The work of parsing grows with the pieces, so that a bound on the bytes alone
doesn't bound it: 4 MB in chunks of one byte take minutes.
"""

FREE_PIECES = 1_000
"""Pieces of a message that may have any size. Streams of small events and bodies that
are written field by field stay below it."""


class PieceBudget:
    """Pieces that one message may have so far.

    Parameters
    ----------
    min_mean_bytes : int
        Smallest mean size of the pieces beyond the first `free_pieces`.
    free_pieces : int
    """

    def __init__(self, min_mean_bytes: int, free_pieces: int = FREE_PIECES):
        self._min_mean_bytes = min_mean_bytes
        self._left = free_pieces * min_mean_bytes

    def take(self, n_bytes: int) -> bool:
        """Count a piece; return whether the message is still within its bound."""
        self._left += n_bytes - self._min_mean_bytes
        return self._left >= 0
