"""Pool of a customer's tokens at the host that owns the customer.

Decides which requests of a customer get a token, from the tokens that hosts transfer
out of their shares of the customer's rate. Requests that may wait are served in order
of arrival.

It serves a load in which the requests of a customer arrive at any of many hosts, each
of which receives one only occasionally. The rate is divided into shares of hosts, so
that no lost or repeated message, network partition or crash can raise it. Without the
pool no share would ever hold a whole token in a large fleet: with 69 hosts and equal
shares of customers of 5 to 63 requests per second, a fraction of 0.37 of all requests
was refused at normal load although every customer was within its rate.

Three rules bound the tokens that are granted:

* Tokens are refilled at the hosts that hold shares and are removed there before they
  reach a pool. The shares therefore bound the inflow of all pools together.
* The capacity of a pool is the part of the burst that corresponds to the shares of the
  hosts that currently contribute to it. A pool without contributors stores at most one
  token, so that two pools of one customer do not store the burst twice.
* A second bucket with the whole rate of the customer, the guard, bounds the grants of
  the pool together with the tokens that hosts spent from their own shares. Forged
  messages therefore cannot raise the rate.
"""

import math
from dataclasses import dataclass

from swifttide_core.limits import TokenBucket
from swifttide_core.rates._token_decision import Denied, Granted, Queued
from swifttide_core.rates._token_transfer import TokenTransfer

CONTRIBUTOR_TIMEOUT_SECONDS = 0.5
"""Time after its last transfer for which a host counts as a contributor of a pool. It
covers two consecutive lost messages, and is short compared to the second in which
another pool of the same customer can fill."""

GRANT_RETENTION_SECONDS = 1.0
"""Time for which a grant is remembered. A request that repeats its question because the
answer was lost is granted again within this time without a second token."""

GUARD_RATE_FACTOR = 1.05
"""Rate of the guard as a multiple of the customer's rate. It is above 1 because tokens
that were moved between pools, or retained at hosts with shares, arrive late."""

MIN_CAPACITY_TOKENS = 1.0
"""Smallest capacity of a pool. With less than one token, a partitioned host could not
serve any request."""


@dataclass(frozen=True, slots=True)
class RequestKey:
    """Identity of a request within the fleet.

    Parameters
    ----------
    host : str
        Address of the host that received the request from its caller.
    boot : str
        Identifier of that host's process.
    number : int
        Number of the request at that host.
    """

    host: str
    boot: str
    number: int


@dataclass(slots=True)
class _Contributor:
    boot: str
    number: int
    share: float
    deposited_at: float


@dataclass(slots=True)
class _HostGrants:
    """Tokens granted to requests of one host process and not returned."""

    boot: str
    tokens: float = 0.0


class RatePool:
    """Tokens of one customer and the requests that wait for them, in order of arrival.

    Parameters
    ----------
    rate, burst : float
        Limits of the customer over all hosts, in tokens per second and in tokens.
    now : float
        Time in seconds, of a clock that continues while the machine is suspended.
    """

    def __init__(self, rate: float, burst: float, now: float):
        self.level = 0.0
        self._burst = burst
        self._guard = TokenBucket.full(
            GUARD_RATE_FACTOR * rate, max(MIN_CAPACITY_TOKENS, burst), now
        )
        self._contributors: dict[str, _Contributor] = {}
        self._waiting: dict[RequestKey, float] = {}
        self._granted: dict[RequestKey, float] = {}
        self._outstanding: dict[str, _HostGrants] = {}

    def update_limits(self, rate: float, burst: float, now: float) -> None:
        """Apply new limits of the customer."""
        self._burst = burst
        self._guard.refill(now)
        self._guard.rate = GUARD_RATE_FACTOR * rate
        self._guard.burst = max(MIN_CAPACITY_TOKENS, burst)
        self._guard.level = min(self._guard.level, self._guard.burst)

    @property
    def n_waiting(self) -> int:
        """Number of requests that wait for a token."""
        return len(self._waiting)

    def deposit(
        self, host: str, boot: str, number: int, transfer: TokenTransfer, now: float
    ) -> bool:
        """Add the tokens that a host transferred.

        Parameters
        ----------
        host, boot : str
            Address of the sender, and identifier of its process.
        number : int
            Sequence number of the message, which increases within a process. A message
            that is repeated or older than the last one is ignored.
        transfer : TokenTransfer
        now : float

        Returns
        -------
        bool
            Whether the transfer was applied.
        """
        previous = self._contributors.get(host)
        if previous is not None and previous.boot == boot and number <= previous.number:
            return False
        transfer = transfer.clamped(self._burst)
        if transfer is None:
            return False
        self._contributors[host] = _Contributor(boot, number, transfer.share, now)
        self._guard.refill(now)
        min_level = -self._guard.burst
        self._guard.level = max(min_level, self._guard.level - transfer.used)
        self._credit_returned(host, boot, transfer.returned)
        self._add_tokens(transfer.tokens, now)
        return True

    def capacity(self, now: float) -> float:
        """Return the largest number of tokens that may be stored now."""
        shares = sum(
            c.share
            for c in self._contributors.values()
            if now - c.deposited_at < CONTRIBUTOR_TIMEOUT_SECONDS
        )
        return max(MIN_CAPACITY_TOKENS, self._burst * min(1.0, shares))

    def drain(self, now: float) -> float:
        """Remove and return all tokens, for the next owner of the pool."""
        tokens, self.level = min(self.level, self.capacity(now)), 0.0
        return tokens

    def request_token(
        self, request: RequestKey, until: float, now: float
    ) -> Granted | Queued | Denied:
        """Request a token.

        Parameters
        ----------
        request : RequestKey
            A repeated request, as after a lost answer, does not get a second token.
        until : float
            Time until which the request may wait. With a time that has passed, the
            request is granted only if a token is available and no request waits.
        now : float
        """
        self._expire(now)
        if request in self._granted:
            return Granted()
        if request in self._waiting:
            self._waiting[request] = until
            return Queued()
        if not self._waiting and self._take_token(now):
            self._grant(request, now)
            return Granted()
        if until <= now:
            return Denied(self._seconds_until_tokens(len(self._waiting) + 1, now))
        self._waiting[request] = until
        return Queued()

    def has_request(self, request: RequestKey) -> bool:
        """Return whether a request waits here or was granted a token recently."""
        return request in self._waiting or request in self._granted

    def cancel(self, request: RequestKey) -> None:
        """Remove a request that no longer waits."""
        self._waiting.pop(request, None)

    def grant_waiting(self, now: float) -> list[RequestKey]:
        """Grant available tokens; return the granted requests in order of arrival."""
        self._expire(now)
        served = []
        for request in list(self._waiting):
            if not self._take_token(now):
                break
            del self._waiting[request]
            self._grant(request, now)
            served.append(request)
        return served

    def _take_token(self, now) -> bool:
        self.level = min(self.level, self.capacity(now))
        if self.level + 1e-9 < 1.0 or not self._guard.take(now):
            return False
        self.level = max(0.0, self.level - 1.0)
        return True

    def _credit_returned(self, host, boot, returned):
        """Credit returned tokens to the guard, up to the number granted to the host.

        A program in an endless loop requests turns that exceed its token budget, and
        each refused turn returns its rate token. Without the credit, the other programs
        of the customer would starve.
        """
        grants = self._outstanding.get(host)
        if grants is None or grants.boot != boot:
            return
        credit = min(returned, grants.tokens)
        grants.tokens -= credit
        level = self._guard.level + credit
        self._guard.level = min(self._guard.burst, level)

    def _grant(self, request, now):
        self._granted[request] = now
        grants = self._outstanding.get(request.host)
        if grants is None or grants.boot != request.boot:
            grants = self._outstanding[request.host] = _HostGrants(request.boot)
        grants.tokens += 1.0

    def _add_tokens(self, tokens, now):
        self.level = min(self.level + tokens, self.capacity(now))

    def _seconds_until_tokens(self, tokens, now) -> float:
        """Return the expected seconds until the pool holds this many tokens."""
        missing = max(0.0, tokens - self.level)
        rate = self._guard.rate / GUARD_RATE_FACTOR
        return missing / rate if rate > 0.0 else math.inf

    def _expire(self, now):
        self._waiting = {a: t for a, t in self._waiting.items() if t > now}
        while self._granted:
            oldest = next(iter(self._granted))
            if now - self._granted[oldest] < GRANT_RETENTION_SECONDS:
                break
            del self._granted[oldest]
