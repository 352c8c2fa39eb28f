"""Tokens of one program that one host may spend."""


class TokenPool:
    """Tokens granted to this host for one program and not yet spent.

    A turn reserves the most that it may generate before it is sent, and returns what
    it did not generate afterwards. A host that dies takes its pool along: those
    tokens count as spent, so the budget holds whatever had been generated.
    """

    def __init__(self):
        self.free = 0
        self.reserved = 0

    def add(self, tokens: int) -> None:
        """Add tokens that were granted."""
        self.free += tokens

    def reserve(self, max_tokens: int) -> bool:
        """Set aside the most that a turn may generate; return whether it was there."""
        if self.free < max_tokens:
            return False
        self.free -= max_tokens
        self.reserved += max_tokens
        return True

    def settle(self, max_tokens: int, generated: int) -> None:
        """Return what a turn that had reserved ``most`` did not generate.

        A turn that generated more than it had said takes the rest from the pool.
        """
        self.reserved -= max_tokens
        self.free += max_tokens - generated

    def withdraw(self) -> int:
        """Take out all free tokens, to give them back to the program."""
        tokens = max(0, self.free)
        self.free -= tokens
        return tokens
