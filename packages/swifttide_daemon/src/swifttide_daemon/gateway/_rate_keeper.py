"""Rates of customers, shared out among hosts.

Load pattern: a customer's requests arrive unevenly at the hosts, several at once.

Without it: each host would admit the whole rate, or refuse at one host what another
has to spare. At its limit a customer would have all its programs fail at some call, and
none would finish.

Grounds: the shares of all hosts add up to the whole rate, and tokens move from host to
host only by leaving one before they reach the other; a message that is lost loses its
tokens. So no message, cut or crash lets a customer have more than its rate. Asking
costs two to four milliseconds; a host asks before it runs dry. Requests of programs
under way wait for their turn, in order of arrival; only new programs are refused at
once.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from swifttide_core.forwarding import CustomerTerms
from swifttide_core.limits import TokenBucket
from swifttide_daemon.gateway._beacon import AskRate, LendRate
from swifttide_daemon.gateway._fleet import Fleet
from swifttide_daemon.gateway._peer import Peer
from swifttide_daemon.gateway._refusal import Refusal
from swifttide_daemon.telemetry import EventLog

START_LEVEL = 0.25
"""Part of its share of the burst that a host has at its start. Whoever ran here
before may just have spent the burst; a quarter stays within the rule's allowance."""

KEPT_PART = 0.8
"""Part of the rule's allowance that tokens borrowed and not yet spent may take up, over
all hosts; they lie beside the lenders' buckets, which fill up again."""

ASKED_AT_ONCE = 4
"""Hosts asked in one round; each has a few tokens of a small customer at most."""

MAX_ROUNDS = 4

ROUND_SECONDS = 0.008
"""Time for a round: the way to another zone and back takes two milliseconds, and a
host that is busy answers after some more."""

PAUSE_SECONDS = 0.05
"""Between askings that brought nothing: a customer far over its rate would have all
hosts ask each other all the time."""


@dataclass(slots=True)
class _Account:
    terms: CustomerTerms
    bucket: TokenBucket
    borrowed: float = 0.0
    queue: list[asyncio.Future] = field(default_factory=list)
    asking: asyncio.Task | None = None
    empty_until: float = float("-inf")


class RateKeeper:
    """Admits requests within each customer's rate.

    Parameters
    ----------
    cfg : GatewaySettings
        Names what a customer may get in a window.
    fleet : Fleet
    send : callable
        Sends a message to a peer.
    log : EventLog
    """

    def __init__(
        self, cfg, fleet: Fleet, send: Callable[[Peer, AskRate], None], log: EventLog
    ):
        self.share = 0.0
        self.apply(cfg)
        self._fleet = fleet
        self._send = send
        self._log = log
        self._accounts: dict[str, _Account] = {}

    def apply(self, cfg) -> None:
        """Take what a customer may get in a window."""
        self._window = cfg.rate_window_seconds
        self._excess = cfg.rate_excess
        self._extra = cfg.rate_extra

    async def take(
        self, request_id: str, terms: CustomerTerms, wait_seconds: float
    ) -> None:
        """Count a request; raises `Refusal` when it is over the rate.

        Parameters
        ----------
        request_id : str
        terms : CustomerTerms
        wait_seconds : float
            How long the request may wait for its turn; 0 for one that is refused
            when no host has a token to spare.
        """
        if terms.rate_per_second <= 0:
            return
        account = self._account(terms)
        if not account.queue and self._spend(account):
            self._ask_ahead(account)
            return
        if await self._queue_up(account, wait_seconds):
            return
        wait = account.bucket.seconds_until(self._now())
        self._refuse(request_id, account, min(2.0, max(0.1, wait)))

    def _refuse(self, request_id, account, retry_after):
        self._log.info(
            "rate_exceeded",
            request_id=request_id,
            customer=account.terms.name,
            share=round(self.share, 4),
            held=round(account.bucket.level + account.borrowed, 2),
            queued=len(account.queue),
            rate=account.terms.rate_per_second,
        )
        raise Refusal(429, "rate_limited", retry_after)

    async def _queue_up(self, account, wait_seconds) -> bool:
        """Wait for a token behind those that came before; whether there was one."""
        granted = asyncio.get_running_loop().create_future()
        account.queue.append(granted)
        self._ask(account)
        least = ROUND_SECONDS * MAX_ROUNDS
        try:
            async with asyncio.timeout(max(least, wait_seconds)):
                await granted
            return True
        except TimeoutError:
            return False
        finally:
            if granted in account.queue:
                account.queue.remove(granted)

    def _serve_queue(self, account):
        while account.queue and self._spend(account):
            granted = account.queue.pop(0)
            if granted.done():
                account.borrowed += 1.0
            else:
                granted.set_result(None)

    def refund(self, terms: CustomerTerms) -> None:
        """Take back the token of a request that was sent to no target."""
        if terms.rate_per_second <= 0:
            return
        account = self._account(terms)
        account.borrowed += 1.0
        self._serve_queue(account)
        account.borrowed = min(account.borrowed, max(1.0, self._kept(account)))

    def lend(self, ask: AskRate) -> LendRate | None:
        """Hand tokens over to another host."""
        account = self._accounts.get(ask.customer)
        if account is None or account.queue:
            return None
        bucket = account.bucket
        bucket.refill(self._now())
        lent = min(ask.tokens, bucket.level)
        if lent <= 0.05:
            return None
        bucket.level -= lent
        return LendRate(ask.customer, lent)

    def receive(self, lent: LendRate) -> None:
        """Take tokens that another host handed over."""
        account = self._accounts.get(lent.customer)
        if account is None or lent.tokens <= 0:
            return
        account.borrowed = min(
            account.borrowed + lent.tokens, len(account.queue) + self._kept(account)
        )
        self._serve_queue(account)

    def follow(self, customers: tuple[CustomerTerms, ...]) -> None:
        """Open accounts for all customers, so that their tokens can be lent."""
        for terms in customers:
            if terms.rate_per_second > 0:
                self._account(terms)

    def _spend(self, account) -> bool:
        if account.borrowed >= 1.0:
            account.borrowed -= 1.0
            return True
        bucket = account.bucket
        bucket.refill(self._now())
        if account.borrowed + bucket.level < 1.0:
            return False
        bucket.level -= 1.0 - account.borrowed
        account.borrowed = 0.0
        return True

    def _ask_ahead(self, account):
        """Ask for tokens before the next request needs them."""
        if account.borrowed + account.bucket.level < 1.0 <= self._kept(account):
            self._ask(account)

    def _ask(self, account) -> asyncio.Task | None:
        if account.asking is not None and not account.asking.done():
            return account.asking
        if self._now() < account.empty_until and not account.queue:
            return None
        account.asking = asyncio.get_running_loop().create_task(self._borrow(account))
        return account.asking

    async def _borrow(self, account):
        """Ask some hosts at a time, as long as requests wait or tokens run short."""
        while self._missing(account) > 0:
            before = account.borrowed
            peers = self._fleet.alive()
            for i in range(MAX_ROUNDS):
                asked = peers[i * ASKED_AT_ONCE : (i + 1) * ASKED_AT_ONCE]
                missing = self._missing(account)
                if not asked or missing <= 0:
                    break
                for peer in asked:
                    self._send(peer, AskRate(account.terms.name, missing))
                await asyncio.sleep(ROUND_SECONDS)
                self._serve_queue(account)
            if not account.queue:
                break
            if account.borrowed <= before:
                await asyncio.sleep(min(PAUSE_SECONDS, self._until_refilled(account)))
                self._serve_queue(account)
        if self._missing(account) > 0:
            account.empty_until = self._now() + PAUSE_SECONDS

    def _until_refilled(self, account) -> float:
        """Return the seconds until this host's own share yields a token."""
        rate = account.bucket.rate
        short = 1.0 - account.borrowed - account.bucket.level
        return max(ROUND_SECONDS, short / rate) if rate else PAUSE_SECONDS

    def _missing(self, account) -> float:
        held = account.borrowed + account.bucket.level
        return len(account.queue) + min(1.0, self._kept(account)) - held

    def _kept(self, account) -> float:
        """Return how many borrowed tokens this host may keep."""
        terms = account.terms
        owed = terms.rate_per_second * self._window + terms.burst
        allowance = owed * self._excess + self._extra
        return KEPT_PART * allowance * self.share

    def _account(self, terms) -> _Account:
        now = self._now()
        rate = terms.rate_per_second * self.share
        burst = terms.burst * self.share
        account = self._accounts.get(terms.name)
        if account is None:
            bucket = TokenBucket(rate, burst, burst * START_LEVEL, now)
            account = self._accounts[terms.name] = _Account(terms, bucket)
        bucket = account.bucket
        if bucket.rate != rate or bucket.burst != burst:
            bucket.refill(now)
            had_no_share = bucket.burst == 0
            bucket.level = min(bucket.level, burst)
            if had_no_share:
                bucket.level = burst * START_LEVEL
            bucket.rate, bucket.burst = rate, burst
        account.terms = terms
        return account

    def _now(self):
        return asyncio.get_running_loop().time()
