"""Tokens on their way from a host's share to the customer's pool."""

import math
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class Handful:
    """What a host hands on.

    Parameters
    ----------
    tokens : float
        They are no longer the sender's.
    share : float
        Part of the customer's burst that the pool may store for the sender.
    used : float
        Tokens that the sender took out of its share itself since it last handed on.
    """

    tokens: float
    share: float = 0.0
    used: float = 0.0

    def plus(self, tokens: float) -> "Handful":
        """Return it with more tokens."""
        return replace(self, tokens=self.tokens + tokens)

    def checked(self, burst: float) -> "Handful | None":
        """Return it within its bounds; None for figures that aren't numbers."""
        if not all(map(math.isfinite, (self.tokens, self.share, self.used))):
            return None
        return Handful(
            min(burst, max(0.0, self.tokens)),
            min(1.0, max(0.0, self.share)),
            min(burst, max(0.0, self.used)),
        )
