"""Transfer of tokens from a host's share to the customer's pool."""

import math
from dataclasses import astuple, dataclass, replace


@dataclass(frozen=True, slots=True)
class TokenTransfer:
    """Tokens of one customer that a host transfers to the customer's pool.

    Parameters
    ----------
    tokens : float
        Tokens transferred; the sender has removed them from its own share.
    share : float
        Fraction of the customer's burst that the pool may store for the sender.
    used : float
        Tokens that the sender spent from its own share since its last transfer.
    returned : float
        Part of `tokens` that the pool had granted to requests of the sender and that
        was not spent.
    """

    tokens: float
    share: float = 0.0
    used: float = 0.0
    returned: float = 0.0

    def with_pool_tokens(self, tokens: float, returned: float) -> "TokenTransfer":
        """Return a copy that adds tokens of a drained pool and unspent granted ones."""
        return replace(self, tokens=self.tokens + tokens + returned, returned=returned)

    def clamped(self, burst: float) -> "TokenTransfer | None":
        """Return a copy within valid bounds; None if a field is infinite or NaN."""
        if not all(map(math.isfinite, astuple(self))):
            return None
        return TokenTransfer(
            min(burst, max(0.0, self.tokens)),
            min(1.0, max(0.0, self.share)),
            min(burst, max(0.0, self.used)),
            min(burst, max(0.0, self.returned)),
        )
