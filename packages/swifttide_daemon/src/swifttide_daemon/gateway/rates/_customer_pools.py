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

INITIAL_FILL_FRACTION = 0.25
"""Part of its share of the burst that a host has at its start. Whoever ran here
before may just have spent the burst; a quarter stays within the rule's allowance."""

EXTRA_STORED_FRACTION = 0.6
"""Part of the requests by which a customer may exceed its limits that is stored for it:
a program makes its requests within a second or two. The rest is for what is spent twice
where hosts are lost."""

TRANSFER_INTERVAL_SECONDS = 0.2
"""Between handings-on: a tenth of a second's delay on average for a token that comes
in, against five messages a second to each owner."""

GRANT_INTERVAL_SECONDS = 0.02
"""Between looks whether requests that wait at this owner can be served: two tokens of
a customer of 100 requests a second."""


@dataclass(slots=True)
class _CustomerState:
    terms: CustomerTerms
    local: LocalShare
    pool: RatePool
    programs: ActivePrograms
    returned: float = 0.0
    grant_timer: asyncio.TimerHandle | None = None

    @property
    def has_tokens(self) -> bool:
        """Whether there may be something to hand on."""
        return (
            self.local.may_have_tokens or self.pool.level > 0.0 or self.returned > 0.0
        )


class CustomerPools:
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
        self._owner_choice = KeeperChoice(fleet, holders)
        self._send = send
        self._on_granted = on_granted
        self._customers: dict[str, _CustomerState] = {}
        self._transfer_number = 0
        self._sizes = ProgramSizeEstimates()
        self._extra = EXTRA_STORED_FRACTION * extra
        self.share = 0.0

    async def run(self) -> None:
        """Hand tokens on until cancelled."""
        while True:
            await asyncio.sleep(TRANSFER_INTERVAL_SECONDS)
            self._transfer_tokens()

    def update_customers(self, customers: tuple[CustomerTerms, ...]) -> None:
        """Take the limits of all customers; forget those that have gone."""
        limited = {t.name: t for t in customers if t.rate_per_second > 0}
        for name in set(self._customers) - set(limited):
            del self._customers[name]
        for terms in limited.values():
            self.get_customer(terms)

    def suspect(self, host: str) -> None:
        """Pass over a owner that didn't answer."""
        self._owner_choice.suspect(host)

    def owners(self, customer: str) -> list[str]:
        """Return where the customer's tokens are, and where they would be next."""
        return self._owner_choice.keepers(customer)

    def take_local_token(self, terms: CustomerTerms) -> bool:
        """Take a token that this host kept of its own share."""
        return self.get_customer(terms).local.take(elapsed_seconds())

    def return_token(self, customer: str) -> None:
        """Return a token that wasn't used."""
        state = self._customers.get(customer)
        if state is not None:
            state.returned += 1.0

    def request_token(
        self,
        terms: CustomerTerms,
        request: RequestKey,
        wait_seconds: float,
        program: str = "",
        may_be_new: bool = False,
        kind: str = "",
    ) -> TokenDecision:
        """Ask for a token here."""
        state = self.get_customer(terms)
        now = elapsed_seconds()
        self._deposit_local(state, now)
        is_new = may_be_new and not state.programs.is_active(program)
        if is_new:
            wait_seconds = 0.0
            seconds = state.programs.seconds_until_admission(
                state.pool.level, terms.rate_per_second, now, kind
            )
            if seconds > 0.0:
                return Denied(seconds)
        asks_again = state.pool.has_request(request)
        decision = state.pool.request_token(request, now + wait_seconds, now)
        if isinstance(decision, Queued):
            self._schedule_grants(state)
        # Counted once: a program that waits would seem larger the longer it waits.
        if program and not asks_again and not isinstance(decision, Denied):
            state.programs.record_request(
                program, isinstance(decision, Queued), now, kind
            )
        return decision

    def cancel(self, customer: str, request: RequestKey) -> None:
        """Take a request out that no longer waits here."""
        state = self._customers.get(customer)
        if state is not None:
            state.pool.cancel(request)

    def answer_request(self, ask: AskRate, sender: str) -> None:
        """Answer another host's question, or pass it on to the owner."""
        state = self._customers.get(ask.customer)
        sender_ip = ask.ip or sender
        if state is None or self._fleet.by_ip(sender_ip) is None:
            return
        owner = self.owners(ask.customer)[0]
        if owner not in (self._own.ip, sender_ip) and not ask.ip:
            self._send(owner, msgspec.structs.replace(ask, ip=sender))
            return
        request = RequestKey(sender_ip, ask.boot, ask.number)
        decision = self.request_token(
            state.terms,
            request,
            ask.wait_seconds,
            ask.program,
            ask.may_be_new,
            ask.kind,
        )
        answer = RateAnswer(ask.customer, ask.boot, ask.number)
        match decision:
            case Granted():
                answer.is_granted = True
            case Queued():
                answer.is_queued = True
            case Denied(seconds):
                answer.seconds = seconds
        self._send(sender_ip, answer)

    def receive_transfer(self, handed: HandRate, sender: str) -> None:
        """Take tokens that another host handed on."""
        if self._fleet.by_ip(sender) is None:
            return
        now = elapsed_seconds()
        for name, fields in handed.tokens.items():
            state = self._customers.get(name)
            if state is None:
                continue
            transfer = TokenTransfer(*fields)
            state.pool.deposit(sender, handed.boot, handed.number, transfer, now)
            if state.pool.n_waiting:
                self._grant_waiting(state)

    def get_customer(self, terms: CustomerTerms) -> "_CustomerState":
        """Return what is kept of a customer, under its limits as they are now."""
        now = elapsed_seconds()
        rate = terms.rate_per_second
        burst = max(1.0, terms.burst) + self._extra
        # What may be exceeded isn't there for whoever starts: it may just be spent.
        level = INITIAL_FILL_FRACTION * (1.0 - self._extra / burst)
        state = self._customers.get(terms.name)
        if state is None:
            local = LocalShare(rate, burst, self.share, level, now)
            pool = RatePool(rate, burst, now)
            state = _CustomerState(terms, local, pool, ActivePrograms(self._sizes))
            self._customers[terms.name] = state
            return state
        if state.terms is not terms or state.local.share != self.share:
            state.terms = terms
            state.local.update_limits(rate, burst, self.share, level, now)
            state.pool.update_limits(rate, burst, now)
        return state

    def _deposit_local(self, state, now):
        """Take what came in here, where this host keeps the tokens."""
        own = self._own
        if self.owners(state.terms.name)[0] != own.ip:
            return
        self._transfer_number += 1
        transfer = state.local.drain(now).with_pool_tokens(0.0, state.returned)
        state.returned = 0.0
        state.pool.deposit(own.ip, own.boot, self._transfer_number, transfer, now)

    def _transfer_tokens(self):
        now = elapsed_seconds()
        self._transfer_number += 1
        handed: dict[str, dict[str, tuple[float, ...]]] = {}
        for name, state in self._customers.items():
            self.get_customer(state.terms)
            owner = self.owners(name)[0]
            if owner == self._own.ip:
                self._deposit_local(state, now)
                self._grant_waiting(state)
                continue
            if not state.has_tokens:
                continue
            left = state.pool.drain(now)
            transfer = state.local.release_surplus(now).with_pool_tokens(
                left, state.returned
            )
            state.returned = 0.0
            fields = dataclasses.astuple(transfer)
            handed.setdefault(owner, {})[name] = tuple(round(f, 4) for f in fields)
        for owner, tokens in handed.items():
            self._send(owner, HandRate(self._own.boot, self._transfer_number, tokens))

    def _schedule_grants(self, state):
        if state.grant_timer is None:
            loop = asyncio.get_running_loop()
            state.grant_timer = loop.call_later(
                GRANT_INTERVAL_SECONDS, self._run_scheduled_grants, state
            )

    def _run_scheduled_grants(self, state):
        state.grant_timer = None
        self._deposit_local(state, elapsed_seconds())
        self._grant_waiting(state)

    def _grant_waiting(self, state):
        """Give tokens to requests that wait, in order."""
        name = state.terms.name
        for request in state.pool.grant_waiting(elapsed_seconds()):
            if request.host == self._own.ip:
                self._on_granted(name, request.number)
                continue
            answer = RateAnswer(name, request.boot, request.number, is_granted=True)
            self._send(request.host, answer)
        if state.pool.n_waiting:
            self._schedule_grants(state)
