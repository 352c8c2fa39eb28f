"""Token bucket for one host's share of a customer's rate.

Decides how many of the tokens that are refilled at a host stay there, from the recent
demand at that host. It retains enough for that demand and transfers the surplus to the
customer's pool at the owner host. The capacity of the retained tokens is subtracted
from the capacity that the pool reserves for this host, so that no part of the burst is
stored twice.

It serves a load in which a few hosts receive many requests of a large customer each,
while most hosts receive only an occasional request of a small customer. Without it,
every request of a large customer would query the owner host, at the cost of two
messages and some milliseconds.
"""

from swifttide_core.limits import TokenBucket
from swifttide_core.rates._token_transfer import TokenTransfer

RETAINED_DEMAND_SECONDS = 0.4
"""Period of recent demand for which tokens are retained: two transfer intervals."""

DEMAND_UPDATE_WEIGHT = 0.3
"""Weight of the newest transfer interval in the moving average of the demand."""


class LocalShare:
    """Share of one customer's rate that is refilled at this host.

    Parameters
    ----------
    rate, burst : float
        Limits of the customer over all hosts, in tokens per second and in tokens.
    share : float
        Fraction of both limits that is assigned to this host.
    level : float
        Initial fill, as a fraction of this host's part of the burst.
    now : float
        Monotonic time, in seconds.
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
        """Whether there may be tokens to transfer, from this or an earlier share."""
        return self.share > 0.0 or self._bucket.level > 0.0

    def update_limits(self, rate, burst, share, level, now) -> None:
        """Apply new limits or a new share; ``level`` applies if there was no share."""
        bucket = self._bucket
        bucket.refill(now)
        if self.share == 0.0:
            bucket.level = burst * share * level
        self.share = share
        self._customer_burst = burst
        bucket.rate, bucket.burst = rate * share, burst * share
        bucket.level = min(bucket.level, bucket.burst)

    def take(self, now: float) -> bool:
        """Take one token; return whether one was available."""
        self._n_requested += 1
        is_available = self._bucket.take(now)
        self._n_taken += is_available
        return is_available

    def release_surplus(self, now: float) -> TokenTransfer:
        """Remove the tokens beyond the local demand, for the owner of the pool."""
        seconds = now - self._released_at
        if seconds > 0.0:
            demand = self._n_requested / seconds
            self._demand_per_second += DEMAND_UPDATE_WEIGHT * (
                demand - self._demand_per_second
            )
            self._n_requested, self._released_at = 0, now
        bucket = self._bucket
        bucket.refill(now)
        retained = min(self._demand_per_second * RETAINED_DEMAND_SECONDS, bucket.burst)
        if retained < 1.0:
            # A request needs a whole token, so a smaller reserve is useless.
            retained = 0.0
        tokens = max(0.0, bucket.level - retained)
        bucket.level -= tokens
        stored = retained / self._customer_burst if self._customer_burst > 0.0 else 0.0
        return self._transfer(tokens, max(0.0, self.share - stored))

    def drain(self, now: float) -> TokenTransfer:
        """Remove all tokens, where this host itself owns the customer's pool."""
        bucket = self._bucket
        bucket.refill(now)
        tokens, bucket.level = bucket.level, 0.0
        return self._transfer(tokens, self.share)

    def _transfer(self, tokens, share) -> TokenTransfer:
        taken, self._n_taken = self._n_taken, 0
        return TokenTransfer(tokens, share, taken)
