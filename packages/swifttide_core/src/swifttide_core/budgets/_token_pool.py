"""Tokens of one program's budget that are granted to one host."""


class TokenPool:
    """Tokens granted to this host for one program and not yet spent.

    A turn reserves the largest number of tokens that it may generate before it is sent,
    and returns the unused ones afterwards. The pool of a host that dies is lost: its
    tokens count as spent, so that the budget holds whatever had been generated.

    Attributes
    ----------
    free : int
        Tokens that are not reserved; negative after a turn exceeded its reservation by
        more than was free.
    reserved : int
        Tokens reserved for turns in progress.
    """

    def __init__(self):
        self.free = 0
        self.reserved = 0

    def add(self, tokens: int) -> None:
        """Add tokens that were granted."""
        self.free += tokens

    def reserve(self, max_tokens: int) -> bool:
        """Reserve tokens for a turn; return whether enough of them were free."""
        if self.free < max_tokens:
            return False
        self.free -= max_tokens
        self.reserved += max_tokens
        return True

    def settle(self, max_tokens: int, generated: int) -> None:
        """Release the reservation of a completed turn and return its unused tokens.

        A turn that generated more than its reservation takes the excess from the pool.
        """
        self.reserved -= max_tokens
        self.free += max_tokens - generated

    def withdraw(self, most: int | None = None) -> int:
        """Remove free tokens and return their number, for use elsewhere.

        Parameters
        ----------
        most : int or None
            Largest number of tokens; None for all.
        """
        tokens = max(0, self.free if most is None else min(self.free, most))
        self.free -= tokens
        return tokens
