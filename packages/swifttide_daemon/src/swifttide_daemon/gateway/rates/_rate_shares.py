"""Shares of customers' rates at one host, and the tokens that it keeps for all."""

import asyncio
import dataclasses
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from swifttide_core.forwarding import CustomerTerms
from swifttide_core.rates import (
    ActivePrograms,
    Denied,
    Granted,
    LocalShare,
    ProgramSizeEstimates,
    Queued,
    RatePool,
    RequestKey,
    TokenDecision,
    TokenTransfer,
)
from swifttide_daemon.gateway.peers._elapsed_clock import elapsed_seconds
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.peers._keeper_choice import KeeperChoice
from swifttide_daemon.gateway.rates._rate_messages import (
    AskRate,
    HandRate,
    RateAnswer,
    RateMessage,
)

START_LEVEL = 0.25
"""Part of its share of the burst that a host has at its start. Whoever ran here
before may just have spent the burst; a quarter stays within the rule's allowance."""

EXTRA_PART = 0.6
"""Part of the requests by which a customer may exceed its limits that is stored for it:
a program makes its requests within a second or two. The rest is for what is spent twice
where hosts are lost."""

HAND_SECONDS = 0.2
"""Between handings-on: a tenth of a second's delay on average for a token that comes
in, against five messages a second to each keeper."""

SERVE_SECONDS = 0.02
"""Between looks whether requests that wait at this keeper can be served: two tokens of
a customer of 100 requests a second."""


@dataclass(slots=True)
class _Customer:
    terms: CustomerTerms
    local: LocalShare
    pool: RatePool
    programs: ActivePrograms
    returned: float = 0.0
    serving: asyncio.TimerHandle | None = None

    @property
    def has_tokens(self) -> bool:
        """Whether there may be something to hand on."""
        return (
            self.local.may_have_tokens or self.pool.level > 0.0 or self.returned > 0.0
        )


class RateShares:
    """Hands on what comes in here, and keeps the tokens of some customers.

    Parameters
    ----------
    fleet : Fleet
    holders : callable
        Returns the addresses of the hosts that hold shares.
    send : callable
        Sends a message to an address; it may be lost.
    on_granted : callable
        Takes the number of a request of this host that got its token.
    extra : float
        Requests by which any customer may exceed its rate and burst.

    Attributes
    ----------
    share : float
        Part of all customers' rates that comes in at this host.
    """

    def __init__(
        self,
        fleet: Fleet,
        holders: Callable[[], tuple[str, ...]],
        send: Callable[[str, RateMessage], None],
        on_granted: Callable[[str, int], None],
        extra: float = 0.0,
    ):
        self._fleet = fleet
        self._own = fleet.own
        self._choice = KeeperChoice(fleet, holders)
        self._send = send
        self._on_granted = on_granted
        self._customers: dict[str, _Customer] = {}
        self._number = 0
        self._sizes = ProgramSizeEstimates()
        self._extra = EXTRA_PART * extra
        self.share = 0.0

    async def run(self) -> None:
        """Hand tokens on until cancelled."""
        while True:
            await asyncio.sleep(HAND_SECONDS)
            self._hand_on()

    def follow(self, customers: tuple[CustomerTerms, ...]) -> None:
        """Take the limits of all customers; forget those that have gone."""
        limited = {t.name: t for t in customers if t.rate_per_second > 0}
        for name in set(self._customers) - set(limited):
            del self._customers[name]
        for terms in limited.values():
            self.customer(terms)

    def suspect(self, host: str) -> None:
        """Pass over a keeper that didn't answer."""
        self._choice.suspect(host)

    def keepers(self, customer: str) -> list[str]:
        """Return where the customer's tokens are, and where they would be next."""
        return self._choice.keepers(customer)

    def take_local(self, terms: CustomerTerms) -> bool:
        """Take a token that this host kept of its own share."""
        return self.customer(terms).local.take(elapsed_seconds())

    def give_back(self, customer: str) -> None:
        """Return a token that wasn't used."""
        known = self._customers.get(customer)
        if known is not None:
            known.returned += 1.0

    def ask(
        self,
        terms: CustomerTerms,
        asker: RequestKey,
        wait_seconds: float,
        program: str = "",
        may_be_new: bool = False,
        kind: str = "",
    ) -> TokenDecision:
        """Ask for a token here."""
        known = self.customer(terms)
        now = elapsed_seconds()
        self._fill_own(known, now)
        is_new = may_be_new and not known.programs.is_active(program)
        if is_new:
            wait_seconds = 0.0
            seconds = known.programs.seconds_until_admission(
                known.pool.level, terms.rate_per_second, now, kind
            )
            if seconds > 0.0:
                return Denied(seconds)
        asks_again = known.pool.has_request(asker)
        standing = known.pool.request_token(asker, now + wait_seconds, now)
        if isinstance(standing, Queued):
            self._serve_later(known)
        # Counted once: a program that waits would seem larger the longer it waits.
        if program and not asks_again and not isinstance(standing, Denied):
            known.programs.record_request(
                program, isinstance(standing, Queued), now, kind
            )
        return standing

    def leave(self, customer: str, asker: RequestKey) -> None:
        """Take a request out that no longer waits here."""
        known = self._customers.get(customer)
        if known is not None:
            known.pool.cancel(asker)

    def answer(self, ask: AskRate, sender: str) -> None:
        """Answer another host's question, or pass it on to the keeper."""
        known = self._customers.get(ask.customer)
        asking = ask.ip or sender
        if known is None or self._fleet.by_ip(asking) is None:
            return
        keeper = self.keepers(ask.customer)[0]
        if keeper not in (self._own.ip, asking) and not ask.ip:
            self._send(keeper, msgspec.structs.replace(ask, ip=sender))
            return
        asker = RequestKey(asking, ask.boot, ask.number)
        standing = self.ask(
            known.terms,
            asker,
            ask.wait_seconds,
            ask.program,
            ask.may_be_new,
            ask.kind,
        )
        answer = RateAnswer(ask.customer, ask.boot, ask.number)
        match standing:
            case Granted():
                answer.is_granted = True
            case Queued():
                answer.is_queued = True
            case Denied(seconds):
                answer.seconds = seconds
        self._send(asking, answer)

    def take_handed(self, handed: HandRate, sender: str) -> None:
        """Take tokens that another host handed on."""
        if self._fleet.by_ip(sender) is None:
            return
        now = elapsed_seconds()
        for name, fields in handed.tokens.items():
            known = self._customers.get(name)
            if known is None:
                continue
            handful = TokenTransfer(*fields)
            known.pool.deposit(sender, handed.boot, handed.number, handful, now)
            if known.pool.n_waiting:
                self._serve(known)

    def customer(self, terms: CustomerTerms) -> "_Customer":
        """Return what is kept of a customer, under its limits as they are now."""
        now = elapsed_seconds()
        rate = terms.rate_per_second
        burst = max(1.0, terms.burst) + self._extra
        # What may be exceeded isn't there for whoever starts: it may just be spent.
        level = START_LEVEL * (1.0 - self._extra / burst)
        known = self._customers.get(terms.name)
        if known is None:
            local = LocalShare(rate, burst, self.share, level, now)
            pool = RatePool(rate, burst, now)
            known = _Customer(terms, local, pool, ActivePrograms(self._sizes))
            self._customers[terms.name] = known
            return known
        if known.terms is not terms or known.local.share != self.share:
            known.terms = terms
            known.local.update_limits(rate, burst, self.share, level, now)
            known.pool.update_limits(rate, burst, now)
        return known

    def _fill_own(self, known, now):
        """Take what came in here, where this host keeps the tokens."""
        own = self._own
        if self.keepers(known.terms.name)[0] != own.ip:
            return
        self._number += 1
        handful = known.local.drain(now).with_pool_tokens(0.0, known.returned)
        known.returned = 0.0
        known.pool.deposit(own.ip, own.boot, self._number, handful, now)

    def _hand_on(self):
        now = elapsed_seconds()
        self._number += 1
        handed: dict[str, dict[str, tuple[float, ...]]] = {}
        for name, known in self._customers.items():
            self.customer(known.terms)
            keeper = self.keepers(name)[0]
            if keeper == self._own.ip:
                self._fill_own(known, now)
                self._serve(known)
                continue
            if not known.has_tokens:
                continue
            left = known.pool.drain(now)
            handful = known.local.release_surplus(now).with_pool_tokens(
                left, known.returned
            )
            known.returned = 0.0
            fields = dataclasses.astuple(handful)
            handed.setdefault(keeper, {})[name] = tuple(round(f, 4) for f in fields)
        for keeper, tokens in handed.items():
            self._send(keeper, HandRate(self._own.boot, self._number, tokens))

    def _serve_later(self, known):
        if known.serving is None:
            loop = asyncio.get_running_loop()
            known.serving = loop.call_later(SERVE_SECONDS, self._serve_again, known)

    def _serve_again(self, known):
        known.serving = None
        self._fill_own(known, elapsed_seconds())
        self._serve(known)

    def _serve(self, known):
        """Give tokens to requests that wait, in order."""
        name = known.terms.name
        for asker in known.pool.grant_waiting(elapsed_seconds()):
            if asker.host == self._own.ip:
                self._on_granted(name, asker.number)
                continue
            answer = RateAnswer(name, asker.boot, asker.number, is_granted=True)
            self._send(asker.host, answer)
        if known.pool.n_waiting:
            self._serve_later(known)
