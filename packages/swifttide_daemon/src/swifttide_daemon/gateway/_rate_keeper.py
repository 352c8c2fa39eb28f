"""Rates of customers, shared out among hosts."""

from swifttide_core.forwarding import CustomerTerms
from swifttide_core.limits import TokenBucket
from swifttide_daemon.gateway._refusal import Refusal

START_LEVEL = 0.5
"""Part of its share of the burst that a host has at its start. Whoever ran here
before may just have spent the burst."""


class RateKeeper:
    """Admits requests within this host's share of each customer's rate.

    Parameters
    ----------
    share : float
        This host's part of each rate and burst.
    """

    def __init__(self, share: float):
        self.share = share
        self._buckets: dict[str, TokenBucket] = {}
        self._terms: dict[str, CustomerTerms] = {}

    def take(self, terms: CustomerTerms, now: float) -> None:
        """Count a request; raises `Refusal` when it is over the rate."""
        if terms.rate_per_second <= 0:
            return
        bucket = self._bucket(terms, now)
        if not bucket.take(now):
            wait = bucket.seconds_until(now)
            raise Refusal(429, "rate_limited", min(5.0, max(0.05, wait)))

    def _bucket(self, terms, now):
        rate = terms.rate_per_second * self.share
        burst = max(1.0, terms.burst * self.share)
        bucket = self._buckets.get(terms.name)
        if bucket is None:
            bucket = TokenBucket(rate, burst, burst * START_LEVEL, now)
            self._buckets[terms.name] = bucket
        elif self._terms.get(terms.name) != terms or bucket.rate != rate:
            bucket.refill(now)
            bucket.rate, bucket.burst = rate, burst
            bucket.level = min(bucket.level, burst)
        self._terms[terms.name] = terms
        return bucket
