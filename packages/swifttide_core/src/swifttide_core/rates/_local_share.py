"""A host's own share of a customer's rate.

Load pattern: a few hosts see many requests of a large customer each; most hosts see one
of a small customer now and then.

Without it: every request of a large customer would ask the host that keeps the tokens,
two messages and some milliseconds each.

Grounds: a host keeps of its own share what it used itself of late; all else it hands on
to where the customer's tokens are gathered. What it keeps is taken off the part of the
burst that is stored there for it, so that nothing is stored twice.
"""

from swifttide_core.limits import TokenBucket
from swifttide_core.rates._token_transfer import TokenTransfer

RETAINED_DEMAND_SECONDS = 0.4
"""A host keeps what it uses in so long: two handings-on."""

DEMAND_UPDATE_WEIGHT = 0.3
"""Weight of the newest interval in the estimate of what is used a second."""


class LocalShare:
    """What comes in at this host, and how much of it is kept.

    Parameters
    ----------
    rate, burst : float
        Of the customer, over all hosts together.
    share : float
        Part of both that is this host's.
    level : float
        Part of its burst that it starts with.
    now : float
    """

    def __init__(self, rate: float, burst: float, share: float, level: float, now):
        self.share = share
        self._customer_burst = burst
        self._bucket = TokenBucket(
            rate * share, burst * share, burst * share * level, now
        )
        self._n_requested = 0
        self._demand_per_second = 0.0
        self._n_taken = 0
        self._released_at = now

    @property
    def may_have_tokens(self) -> bool:
        """Whether there is or was a share of which something may be handed on."""
        return self.share > 0.0 or self._bucket.level > 0.0

    def update_limits(self, rate, burst, share, level, now) -> None:
        """Take new limits, or a new share; ``level`` holds where there was none."""
        bucket = self._bucket
        bucket.refill(now)
        if self.share == 0.0:
            bucket.level = burst * share * level
        self.share = share
        self._customer_burst = burst
        bucket.rate, bucket.burst = rate * share, burst * share
        bucket.level = min(bucket.level, bucket.burst)

    def take(self, now: float) -> bool:
        """Take a token; return whether there was one."""
        self._n_requested += 1
        is_there = self._bucket.take(now)
        self._n_taken += is_there
        return is_there

    def release_surplus(self, now: float) -> TokenTransfer:
        """Take out what isn't kept here, for the host that keeps the tokens."""
        seconds = now - self._released_at
        if seconds > 0.0:
            wanted = self._n_requested / seconds
            self._demand_per_second += DEMAND_UPDATE_WEIGHT * (
                wanted - self._demand_per_second
            )
            self._n_requested, self._released_at = 0, now
        bucket = self._bucket
        bucket.refill(now)
        kept = min(self._demand_per_second * RETAINED_DEMAND_SECONDS, bucket.burst)
        if kept < 1.0:
            # Less than a token is of no use here.
            kept = 0.0
        tokens = max(0.0, bucket.level - kept)
        bucket.level -= tokens
        stored = kept / self._customer_burst if self._customer_burst > 0.0 else 0.0
        return self._transfer(tokens, max(0.0, self.share - stored))

    def drain(self, now: float) -> TokenTransfer:
        """Take everything out: this host keeps the customer's tokens itself."""
        bucket = self._bucket
        bucket.refill(now)
        tokens, bucket.level = bucket.level, 0.0
        return self._transfer(tokens, self.share)

    def _transfer(self, tokens, share) -> TokenTransfer:
        taken, self._n_taken = self._n_taken, 0
        return TokenTransfer(tokens, share, taken)
