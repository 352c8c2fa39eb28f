"""Tokens on their way from a host's share to the customer's pool."""

import math
from dataclasses import astuple, dataclass, replace


@dataclass(frozen=True, slots=True)
class TokenTransfer:
    """What a host hands on.

    Parameters
    ----------
    tokens : float
        They are no longer the sender's.
    share : float
        Part of the customer's burst that the pool may store for the sender.
    used : float
        Tokens that the sender took out of its share itself since it last handed on.
    returned : float
        Of the tokens, those that the pool had granted to the sender's requests and
        that were not used.
    """

    tokens: float
    share: float = 0.0
    used: float = 0.0
    returned: float = 0.0

    def with_pool_tokens(self, tokens: float, returned: float) -> "TokenTransfer":
        """Return it with more tokens, and with some that were granted before."""
        return replace(self, tokens=self.tokens + tokens + returned, returned=returned)

    def clamped(self, burst: float) -> "TokenTransfer | None":
        """Return it within its bounds; None for figures that aren't numbers."""
        if not all(map(math.isfinite, astuple(self))):
            return None
        return TokenTransfer(
            min(burst, max(0.0, self.tokens)),
            min(1.0, max(0.0, self.share)),
            min(burst, max(0.0, self.used)),
            min(burst, max(0.0, self.returned)),
        )
