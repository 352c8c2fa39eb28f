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
from swifttide_core.rates._handful import Handful
from swifttide_core.rates._standing import Granted, Queued, Short

FILLER_SECONDS = 0.5
"""A host counts as filling a pool for so long after it last did: two messages lost
in a row, and still short against the second in which another pool can fill."""

GRANTED_SECONDS = 1.0
"""An answer that was lost is given again for so long, without another token."""

GUARD_RATE = 1.05
"""Rate of the bucket that bounds the pool: tokens that wandered, or waited at the
hosts that hold shares, come a little late."""

MIN_STORED = 1.0
"""A pool may always store one token; else a host that is cut off could serve nobody."""


@dataclass(frozen=True, slots=True)
class Asker:
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
class _Filler:
    boot: str
    number: int
    share: float
    filled_at: float


@dataclass(slots=True)
class _Lent:
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
        self._guard = TokenBucket.full(GUARD_RATE * rate, max(MIN_STORED, burst), now)
        self._fillers: dict[str, _Filler] = {}
        self._waiting: dict[Asker, float] = {}
        self._granted: dict[Asker, float] = {}
        self._lent: dict[str, _Lent] = {}

    def follow(self, rate: float, burst: float, now: float) -> None:
        """Take new limits of the customer."""
        self._burst = burst
        self._guard.refill(now)
        self._guard.rate = GUARD_RATE * rate
        self._guard.burst = max(MIN_STORED, burst)
        self._guard.level = min(self._guard.level, self._guard.burst)

    @property
    def n_waiting(self) -> int:
        """Requests that wait for a token."""
        return len(self._waiting)

    def fill(
        self, host: str, boot: str, number: int, handful: Handful, now: float
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
        known = self._fillers.get(host)
        if known is not None and known.boot == boot and number <= known.number:
            return False
        handful = handful.checked(self._burst)
        if handful is None:
            return False
        self._fillers[host] = _Filler(boot, number, handful.share, now)
        self._guard.refill(now)
        least = -self._guard.burst
        self._guard.level = max(least, self._guard.level - handful.used)
        self._credit(host, boot, handful.returned)
        self._store(handful.tokens, now)
        return True

    def room(self, now: float) -> float:
        """Return how many tokens may be stored."""
        shares = sum(
            f.share
            for f in self._fillers.values()
            if now - f.filled_at < FILLER_SECONDS
        )
        return max(MIN_STORED, self._burst * min(1.0, shares))

    def drain(self, now: float) -> float:
        """Take all tokens out, for another host that keeps them from now on."""
        tokens, self.level = min(self.level, self.room(now)), 0.0
        return tokens

    def ask(self, asker: Asker, until: float, now: float) -> Granted | Queued | Short:
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
        self._forget(now)
        if asker in self._granted:
            return Granted()
        if asker in self._waiting:
            self._waiting[asker] = until
            return Queued()
        if not self._waiting and self._take(now):
            self._grant(asker, now)
            return Granted()
        if until <= now:
            return Short(self._seconds_until(len(self._waiting) + 1, now))
        self._waiting[asker] = until
        return Queued()

    def knows(self, asker: Asker) -> bool:
        """Whether a request has asked before, and is not asking for the first time."""
        return asker in self._waiting or asker in self._granted

    def leave(self, asker: Asker) -> None:
        """Take a request out that no longer waits."""
        self._waiting.pop(asker, None)

    def serve(self, now: float) -> list[Asker]:
        """Return the requests that get a token now, in order."""
        self._forget(now)
        served = []
        for asker in list(self._waiting):
            if not self._take(now):
                break
            del self._waiting[asker]
            self._grant(asker, now)
            served.append(asker)
        return served

    def _take(self, now) -> bool:
        self.level = min(self.level, self.room(now))
        if self.level + 1e-9 < 1.0 or not self._guard.take(now):
            return False
        self.level = max(0.0, self.level - 1.0)
        return True

    def _credit(self, host, boot, returned):
        """Let tokens that come back be granted again, but no others.

        A program that loops asks for turns that its budget no longer holds, and each
        returns its token; without this its customer's other programs would starve.
        """
        lent = self._lent.get(host)
        if lent is None or lent.boot != boot:
            return
        credit = min(returned, lent.tokens)
        lent.tokens -= credit
        level = self._guard.level + credit
        self._guard.level = min(self._guard.burst, level)

    def _grant(self, asker, now):
        self._granted[asker] = now
        lent = self._lent.get(asker.host)
        if lent is None or lent.boot != asker.boot:
            lent = self._lent[asker.host] = _Lent(asker.boot)
        lent.tokens += 1.0

    def _store(self, tokens, now):
        self.level = min(self.level + tokens, self.room(now))

    def _seconds_until(self, tokens, now) -> float:
        """Return when so many tokens have come in, if all is well."""
        missing = max(0.0, tokens - self.level)
        rate = self._guard.rate / GUARD_RATE
        return missing / rate if rate > 0.0 else math.inf

    def _forget(self, now):
        self._waiting = {a: t for a, t in self._waiting.items() if t > now}
        while self._granted:
            oldest = next(iter(self._granted))
            if now - self._granted[oldest] < GRANTED_SECONDS:
                break
            del self._granted[oldest]
