"""A customer's tokens, gathered at one host.

Load pattern: a customer's requests arrive at any of many hosts, each host seeing one
now and then; its rate is shared out among hosts, so that no message, cut or crash can
give it more.

Without it: with many hosts no share ever holds a whole token. Of 69 hosts with equal
shares of customers of 5 to 63 requests a second, 0.37 of all requests were refused on
a calm day though every customer was within its rate.

Grounds: tokens come in at the hosts that hold shares and leave them before they reach
the pool, so the shares bound what all pools together take in. How much a pool may
store follows those that fill it: a burst in proportion to their shares. A pool that
others have turned away from may store no more than one token, so that two pools of one
customer don't hold its burst twice. What a pool hands out, together with what hosts
took out of their shares themselves, is bounded once more by a bucket of the whole rate,
so that forged messages can't lift it.
"""

import math
from dataclasses import dataclass

from swifttide_core.limits import TokenBucket
from swifttide_core.rates._token_decision import Denied, Granted, Queued
from swifttide_core.rates._token_transfer import TokenTransfer

CONTRIBUTOR_TIMEOUT_SECONDS = 0.5
"""A host counts as filling a pool for so long after it last did: two messages lost
in a row, and still short against the second in which another pool can fill."""

GRANT_RETENTION_SECONDS = 1.0
"""An answer that was lost is given again for so long, without another token."""

GUARD_RATE_FACTOR = 1.05
"""Rate of the bucket that bounds the pool: tokens that wandered, or waited at the
hosts that hold shares, come a little late."""

MIN_CAPACITY_TOKENS = 1.0
"""A pool may always store one token; else a host that is cut off could serve nobody."""


@dataclass(frozen=True, slots=True)
class RequestKey:
    """One request, at the host that it reached.

    Parameters
    ----------
    host : str
        Address.
    boot : str
        Of the host's process.
    number : int
        Of the request at that host.
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
    """Tokens granted to a process's requests, and not returned."""

    boot: str
    tokens: float = 0.0


class RatePool:
    """Tokens of one customer and the requests that wait for them, in order of arrival.

    Parameters
    ----------
    rate, burst : float
        Of the customer, over all hosts together.
    now : float
        Seconds of a clock that also counts while the machine is suspended.
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
        """Take new limits of the customer."""
        self._burst = burst
        self._guard.refill(now)
        self._guard.rate = GUARD_RATE_FACTOR * rate
        self._guard.burst = max(MIN_CAPACITY_TOKENS, burst)
        self._guard.level = min(self._guard.level, self._guard.burst)

    @property
    def n_waiting(self) -> int:
        """Requests that wait for a token."""
        return len(self._waiting)

    def deposit(
        self, host: str, boot: str, number: int, transfer: TokenTransfer, now: float
    ) -> bool:
        """Take what a host handed on; return whether the message was news.

        Parameters
        ----------
        host, boot : str
            Sender and its process.
        number : int
            Grows with each message of a process; an older one, or the same again,
            changes nothing.
        handful : Handful
        now : float
        """
        known = self._contributors.get(host)
        if known is not None and known.boot == boot and number <= known.number:
            return False
        transfer = transfer.clamped(self._burst)
        if transfer is None:
            return False
        self._contributors[host] = _Contributor(boot, number, transfer.share, now)
        self._guard.refill(now)
        least = -self._guard.burst
        self._guard.level = max(least, self._guard.level - transfer.used)
        self._credit_returned(host, boot, transfer.returned)
        self._add_tokens(transfer.tokens, now)
        return True

    def capacity(self, now: float) -> float:
        """Return how many tokens may be stored."""
        shares = sum(
            f.share
            for f in self._contributors.values()
            if now - f.deposited_at < CONTRIBUTOR_TIMEOUT_SECONDS
        )
        return max(MIN_CAPACITY_TOKENS, self._burst * min(1.0, shares))

    def drain(self, now: float) -> float:
        """Take all tokens out, for another host that keeps them from now on."""
        tokens, self.level = min(self.level, self.capacity(now)), 0.0
        return tokens

    def request_token(
        self, request: RequestKey, until: float, now: float
    ) -> Granted | Queued | Denied:
        """Ask for a token.

        Parameters
        ----------
        asker : Asker
            The same again, as when an answer was lost, gets no second token.
        until : float
            How long the request may wait here; a time that is over asks for a token
            that is there at once and not wanted by those that wait.
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
        """Whether a request has asked before, and is not asking for the first time."""
        return request in self._waiting or request in self._granted

    def cancel(self, request: RequestKey) -> None:
        """Take a request out that no longer waits."""
        self._waiting.pop(request, None)

    def grant_waiting(self, now: float) -> list[RequestKey]:
        """Return the requests that get a token now, in order."""
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
        """Let tokens that come back be granted again, but no others.

        A program that loops asks for turns that its budget no longer holds, and each
        returns its token; without this its customer's other programs would starve.
        """
        lent = self._outstanding.get(host)
        if lent is None or lent.boot != boot:
            return
        credit = min(returned, lent.tokens)
        lent.tokens -= credit
        level = self._guard.level + credit
        self._guard.level = min(self._guard.burst, level)

    def _grant(self, request, now):
        self._granted[request] = now
        lent = self._outstanding.get(request.host)
        if lent is None or lent.boot != request.boot:
            lent = self._outstanding[request.host] = _HostGrants(request.boot)
        lent.tokens += 1.0

    def _add_tokens(self, tokens, now):
        self.level = min(self.level + tokens, self.capacity(now))

    def _seconds_until_tokens(self, tokens, now) -> float:
        """Return when so many tokens have come in, if all is well."""
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
