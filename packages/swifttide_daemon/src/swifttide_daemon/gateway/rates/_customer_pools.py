"""Token buckets of all customers at one host.

For each customer the host has a bucket that refills its share of the customer's rate,
and a pool that serves the requests of all hosts while this host owns the customer. At
fixed intervals it transfers the tokens that it does not need itself to the owners.
"""

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
"""Initial fill of a host's share of the burst, but for the limit of
`INITIAL_FILL_SECONDS`. The previous process at this host may just have spent the
burst."""

INITIAL_FILL_SECONDS = 0.5
"""Upper limit of the initial fill, in time to refill it. After a loss of all hosts it
comes on top of what was used before, and this much stays within the excess that a limit
allows: a tenth of what comes in 5 s, and of the burst."""

EXTRA_STORED_FRACTION = 0.6
"""Fraction of the allowed excess of a customer that is added to its burst, because a
program makes its requests within a second or two. The remainder covers tokens that are
spent twice when hosts fail."""

TRANSFER_INTERVAL_SECONDS = 0.2
"""Interval between transfers. It delays a refilled token by 0.1 s on average and costs
five messages per second to each owner host."""

GRANT_INTERVAL_SECONDS = 0.02
"""Interval at which waiting requests are checked for available tokens: the time in
which a customer of 100 requests per second gets two tokens."""


@dataclass(slots=True)
class _CustomerState:
    terms: CustomerTerms
    local: LocalShare
    pool: RatePool
    programs: ActivePrograms
    returned: float = 0.0
    grant_timer: asyncio.TimerHandle | None = None
    left_at: float | None = None
    """Time at which the customer left the configuration; None while it is there."""

    def is_forgettable(self, now: float) -> bool:
        """Whether a new state would give the customer no more than this one.

        A customer that comes back soon has used what it has used. After the time in
        which its burst is refilled, that makes no difference any more.
        """
        rate = self.terms.rate_per_second
        return self.left_at is not None and now - self.left_at >= (
            max(1.0, self.terms.burst) / rate
        )

    @property
    def has_tokens(self) -> bool:
        """Whether there may be tokens to transfer."""
        return (
            self.local.may_have_tokens or self.pool.level > 0.0 or self.returned > 0.0
        )


class CustomerPools:
    """Transfers tokens that are refilled here, and owns the pools of some customers.

    Parameters
    ----------
    fleet : Fleet
    holders : callable
        Returns the addresses of the hosts that hold shares.
    send : callable
        Sends a message to an address; the message may be lost.
    on_granted : callable
        Called with the customer and the number of a request of this host when it is
        granted a token after waiting.
    extra : float
        Number of requests by which any customer may exceed its rate and burst.

    Attributes
    ----------
    share : float
        Fraction of all customers' rates that is refilled at this host.
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
        """Transfer tokens at fixed intervals until cancelled."""
        while True:
            await asyncio.sleep(TRANSFER_INTERVAL_SECONDS)
            self._transfer_tokens()

    def update_customers(self, customers: tuple[CustomerTerms, ...]) -> None:
        """Apply the limits of all customers.

        Customers that have left, or have no limit any more, are forgotten once their
        burst would be full.
        """
        now = elapsed_seconds()
        limited = {t.name: t for t in customers if t.rate_per_second > 0}
        for name in set(self._customers) - set(limited):
            state = self._customers[name]
            if state.left_at is None:
                state.left_at = now
        self._forget_left(now)
        for terms in limited.values():
            self.get_customer(terms).left_at = None

    def _forget_left(self, now):
        for name, state in list(self._customers.items()):
            if state.is_forgettable(now):
                del self._customers[name]

    def suspect(self, host: str) -> None:
        """Skip an owner host that did not answer."""
        self._owner_choice.suspect(host)

    def owners(self, customer: str) -> list[str]:
        """Return the owner of the customer's pool, followed by its successors."""
        return self._owner_choice.keepers(customer)

    def skipped_owner(self, customer: str) -> str | None:
        """Return the owner of the customer's pool if it is only suspected."""
        return self._owner_choice.skipped_keeper(customer)

    def take_local_token(self, terms: CustomerTerms) -> bool:
        """Take a token that this host retained of its own share."""
        return self.get_customer(terms).local.take(elapsed_seconds())

    def return_token(self, customer: str) -> None:
        """Return a token that was not used."""
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
        """Request a token from the pool at this host."""
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
        is_repeated = state.pool.has_request(request)
        decision = state.pool.request_token(request, now + wait_seconds, now)
        if isinstance(decision, Queued):
            self._schedule_grants(state)
        # Repeated queries are not counted: the estimated size of a program would
        # otherwise grow with its waiting time.
        if program and not is_repeated and not isinstance(decision, Denied):
            state.programs.record_request(
                program, isinstance(decision, Queued), now, kind
            )
        return decision

    def cancel(self, customer: str, request: RequestKey) -> None:
        """Remove a request that no longer waits here."""
        state = self._customers.get(customer)
        if state is not None:
            state.pool.cancel(request)

    def answer_request(self, ask: AskRate, sender: str) -> None:
        """Answer the query of another host, or forward it to the owner."""
        state = self._customers.get(ask.customer)
        origin_ip = ask.ip or sender
        if state is None or self._fleet.by_ip(origin_ip) is None:
            return
        owner = self.owners(ask.customer)[0]
        if owner not in (self._own.ip, origin_ip) and not ask.ip:
            self._send(owner, msgspec.structs.replace(ask, ip=sender))
            return
        request = RequestKey(origin_ip, ask.boot, ask.number)
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
        self._send(origin_ip, answer)

    def receive_transfer(self, message: HandRate, sender: str) -> None:
        """Add tokens that another host transferred."""
        if self._fleet.by_ip(sender) is None:
            return
        now = elapsed_seconds()
        for name, fields in message.tokens.items():
            state = self._customers.get(name)
            if state is None:
                continue
            transfer = TokenTransfer(*fields)
            state.pool.deposit(sender, message.boot, message.number, transfer, now)
            if state.pool.n_waiting:
                self._grant_waiting(state)

    def get_customer(self, terms: CustomerTerms) -> "_CustomerState":
        """Return the state of a customer, updated to its current limits and share."""
        now = elapsed_seconds()
        rate = terms.rate_per_second
        burst = max(1.0, terms.burst) + self._extra
        # The initial fill excludes the allowed excess, which may just have been spent.
        level = min(
            INITIAL_FILL_FRACTION * (1.0 - self._extra / burst),
            INITIAL_FILL_SECONDS * rate / burst,
        )
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
        """Deposit the tokens refilled here if this host owns the pool."""
        own = self._own
        if self.owners(state.terms.name)[0] != own.ip:
            return
        self._transfer_number += 1
        transfer = state.local.drain(now).with_pool_tokens(0.0, state.returned)
        state.returned = 0.0
        state.pool.deposit(own.ip, own.boot, self._transfer_number, transfer, now)

    def _transfer_tokens(self):
        now = elapsed_seconds()
        self._forget_left(now)
        self._transfer_number += 1
        transfers: dict[str, dict[str, tuple[float, ...]]] = {}
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
            transfers.setdefault(owner, {})[name] = tuple(round(f, 4) for f in fields)
        for owner, tokens in transfers.items():
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
        """Grant available tokens to waiting requests in order of arrival."""
        name = state.terms.name
        for request in state.pool.grant_waiting(elapsed_seconds()):
            if request.host == self._own.ip:
                self._on_granted(name, request.number)
                continue
            answer = RateAnswer(name, request.boot, request.number, is_granted=True)
            self._send(request.host, answer)
        if state.pool.n_waiting:
            self._schedule_grants(state)
