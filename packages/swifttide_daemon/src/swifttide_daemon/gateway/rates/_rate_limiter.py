"""Admission of requests within the rates of their customers.

Decides for each request of a customer with a rate limit whether it is admitted, from
the tokens that this host retains and from the answer of the host that owns the
customer's token pool. It serves a load in which a customer's requests arrive unevenly
at the hosts, several at once.

Without it, each host would admit the whole rate, or one host would refuse requests
while another has tokens to spare. All programs of a customer at its limit would fail at
some call, and none would complete.

The tokens of a customer are pooled at one host, which is the same for all hosts that
ask; a query takes two to four milliseconds. Requests of active programs wait there in
order of arrival over all hosts, and only new programs are refused immediately. A host
that does not answer is skipped; the others forward the query to the current owner.
"""

import asyncio
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from swifttide_core.forwarding import CustomerTerms
from swifttide_core.rates import Denied, Granted, Queued, RequestKey, TokenDecision
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.peers._fleet import Fleet
from swifttide_daemon.gateway.rates._customer_pools import CustomerPools
from swifttide_daemon.gateway.rates._rate_messages import (
    AskRate,
    HandRate,
    RateAnswer,
    RateMessage,
)
from swifttide_daemon.telemetry import EventLog

ANSWER_TIMEOUT_SECONDS = 0.03
"""Time-out of a query to the owner host. A round trip to another zone takes two
milliseconds, and a busy host needs some more to answer."""

MIN_WAIT_SECONDS = 0.09
"""Shortest time for which a token is sought: three owners can be queried in it."""

REPEAT_INTERVAL_SECONDS = 0.25
"""Interval at which a waiting request repeats its query. The owner may have failed in
the meantime, or its answer may have been lost."""

CLOSED_RETENTION_SECONDS = 2.0
"""Time for which requests that ended without a token are remembered, so that a token
that arrives late for one of them is returned."""

MAX_RETRY_SECONDS = 2.0
"""Upper bound of the retry delay given to callers: longer than most outages of an owner
host."""

MIN_REMAINING_SECONDS = 0.001
"""Remaining time below which no answer of an owner host can arrive any more."""

REQUEST_NUMBER_BITS = 53
"""Length of request numbers: integers that every JSON parser represents exactly."""

MIN_RETRY_SECONDS = 0.1
"""Lower bound of the retry delay given to callers: some round trips to an owner."""


@dataclass(slots=True)
class _PendingRequest:
    """A request that waits for a token, with the last decision on it."""

    program: str
    may_be_new: bool
    kind: str
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    decision: TokenDecision | None = None

    def set_decision(self, decision: TokenDecision) -> None:
        """Store a decision, unless a token was granted before, and wake the waiter."""
        if not isinstance(self.decision, Granted):
            self.decision = decision
        self.answered.set()

    async def wait_for_decision(self, seconds: float) -> TokenDecision | None:
        """Return the next decision; None if none arrives within this time."""
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                await self.answered.wait()
        except TimeoutError:
            return None
        self.answered.clear()
        return self.decision


@dataclass(slots=True)
class _CustomerRequests:
    """Requests of one customer at this host, by their numbers.

    ``waiting`` holds those that wait for a decision, ``closed`` the times at which
    others ended without a token.
    """

    waiting: dict[int, _PendingRequest] = field(default_factory=dict)
    closed: dict[int, float] = field(default_factory=dict)


class RateLimiter:
    """Admits requests within each customer's rate.

    Parameters
    ----------
    fleet : Fleet
    holders : callable
        Returns the addresses of the hosts that hold shares of the rates.
    send : callable
        Sends a message to an address; the message may be lost.
    log : EventLog
    extra : float
        Number of requests by which any customer may exceed its rate and burst.
    """

    def __init__(
        self,
        fleet: Fleet,
        holders: Callable[[], tuple[str, ...]],
        send: Callable[[str, RateMessage], None],
        log: EventLog,
        extra: float = 0.0,
    ):
        self._own = fleet.own
        self._send = send
        self._log = log
        self._pools = CustomerPools(fleet, holders, send, self._handle_grant, extra)
        self._requests: dict[str, _CustomerRequests] = {}

    @property
    def share(self) -> float:
        """Fraction of all customers' rates that is refilled at this host."""
        return self._pools.share

    @share.setter
    def share(self, share: float) -> None:
        self._pools.share = share

    async def run(self) -> None:
        """Transfer tokens to the owners of the pools until cancelled."""
        await self._pools.run()

    def update_customers(self, customers: tuple[CustomerTerms, ...]) -> None:
        """Apply the limits of all customers."""
        self._pools.update_customers(customers)

    async def take(
        self,
        request_id: str,
        terms: CustomerTerms,
        wait_seconds: float,
        program: str = "",
        may_be_new: bool = False,
        kind: str = "",
    ) -> None:
        """Take a token for a request; raises `Refusal` if the rate is exceeded.

        Parameters
        ----------
        request_id : str
        terms : CustomerTerms
        wait_seconds : float
            Time for which the request may wait for a token; with 0 it is refused
            unless a token is available immediately.
        program : str
            Key of the program of the request; empty if it belongs to none.
        may_be_new : bool
            Whether this may be the first request of its program.
        kind : str
            Kind of the program; empty if the request does not state it.
        """
        if terms.rate_per_second <= 0:
            return
        requests = self._requests.setdefault(terms.name, _CustomerRequests())
        is_first_come = not requests.waiting and not may_be_new
        if is_first_come and self._pools.take_local_token(terms):
            return
        # Random, so that a sender that cannot read the query cannot forge its answer.
        number = secrets.randbits(REQUEST_NUMBER_BITS)
        pending = requests.waiting[number] = _PendingRequest(program, may_be_new, kind)
        try:
            seconds = await self._wait_for_token(terms, number, pending, wait_seconds)
        finally:
            del requests.waiting[number]
            self._pools.cancel(terms.name, self._request_key(number))
            if not isinstance(pending.decision, Granted):
                self._close(requests, number)
        if not isinstance(pending.decision, Granted):
            self._refuse(request_id, pending, terms, seconds)

    def refund(self, terms: CustomerTerms) -> None:
        """Return the token of a request that was not sent to any target."""
        if terms.rate_per_second > 0:
            self._pools.return_token(terms.name)

    def handle_message(self, message: RateMessage, sender: str) -> None:
        """Handle a message of another host."""
        match message:
            case AskRate():
                self._pools.answer_request(message, sender)
            case HandRate():
                self._pools.receive_transfer(message, sender)
            case RateAnswer(customer, boot, number) if boot == self._own.boot:
                self._handle_answer(customer, number, _decision_of(message))

    def _handle_answer(self, customer, number, decision):
        requests = self._requests.get(customer)
        if requests is None:
            return
        pending = requests.waiting.get(number)
        if pending is not None:
            pending.set_decision(decision)
        elif isinstance(decision, Granted) and requests.closed.pop(number, None):
            # Only once: a duplicated answer must not return two tokens.
            self._pools.return_token(customer)

    def _handle_grant(self, customer, number):
        self._handle_answer(customer, number, Granted())

    def _close(self, requests, number):
        """Remember a request without a token, for a grant that may still arrive."""
        now = asyncio.get_running_loop().time()
        requests.closed[number] = now
        for old in list(requests.closed):
            if now - requests.closed[old] < CLOSED_RETENTION_SECONDS:
                break
            del requests.closed[old]

    def _request_key(self, number) -> RequestKey:
        return RequestKey(self._own.ip, self._own.boot, number)

    async def _wait_for_token(self, terms, number, pending, wait_seconds) -> float:
        """Query until there is a token or time is up; return the retry delay."""
        loop = asyncio.get_running_loop()
        until = loop.time() + max(MIN_WAIT_SECONDS, wait_seconds)
        seconds = MIN_RETRY_SECONDS
        while (remaining := until - loop.time()) > MIN_REMAINING_SECONDS:
            query_wait_seconds = min(remaining, wait_seconds)
            match await self._query_owner(terms, number, pending, query_wait_seconds):
                case Granted():
                    break
                case Queued():
                    pause = min(REPEAT_INTERVAL_SECONDS, until - loop.time())
                    if isinstance(await pending.wait_for_decision(pause), Granted):
                        break
                case Denied(seconds):
                    is_final = pending.may_be_new or not wait_seconds
                    skipped = self._pools.skipped_owner(terms.name)
                    if skipped is not None:
                        # The tokens are still there; its successor has few.
                        self._ask(skipped, terms, number, pending, query_wait_seconds)
                    elif is_final:
                        break
                    pause = min(ANSWER_TIMEOUT_SECONDS, until - loop.time())
                    match await pending.wait_for_decision(pause):
                        case Granted():
                            break
                        case Denied(seconds) if is_final:
                            break
        return seconds

    async def _query_owner(
        self, terms, number, pending, query_wait_seconds
    ) -> TokenDecision | None:
        """Return the decision of the owner host; None if it does not answer in time."""
        owner = self._pools.owners(terms.name)[0]
        if owner == self._own.ip:
            request, program = self._request_key(number), pending.program
            pending.set_decision(
                self._pools.request_token(
                    terms,
                    request,
                    query_wait_seconds,
                    program,
                    pending.may_be_new,
                    pending.kind,
                )
            )
            return await pending.wait_for_decision(0.0)
        self._ask(owner, terms, number, pending, query_wait_seconds)
        decision = await pending.wait_for_decision(ANSWER_TIMEOUT_SECONDS)
        if decision is None:
            self._pools.suspect(owner)
        return decision

    def _ask(self, owner, terms, number, pending, query_wait_seconds):
        """Send a query for a token to a host."""
        ask = AskRate(
            terms.name,
            self._own.boot,
            number,
            round(query_wait_seconds, 3),
            pending.program,
            pending.may_be_new,
            kind=pending.kind,
        )
        self._send(owner, ask)

    def _refuse(self, request_id, pending, terms, seconds):
        self._log.info(
            "rate_exceeded",
            request_id=request_id,
            customer=terms.name,
            program=pending.program,
            new_program=pending.may_be_new,
            keeper=self._pools.owners(terms.name)[0],
            is_answered=pending.decision is not None,
            waiting=len(self._requests[terms.name].waiting),
            rate=terms.rate_per_second,
            seconds=round(seconds, 3),
        )
        wait = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
        raise Refusal(429, "rate_limited", wait)


def _decision_of(answer: RateAnswer) -> TokenDecision:
    if answer.is_granted:
        return Granted()
    return Queued() if answer.is_queued else Denied(max(0.0, answer.seconds))
