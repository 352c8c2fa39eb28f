"""Requests let in within their customers' rates.

Load pattern: a customer's requests arrive unevenly at the hosts, several at once.

Without it: each host would admit the whole rate, or refuse at one host what another
has to spare. At its limit a customer would have all its programs fail at some call, and
none would finish.

Grounds: tokens of a customer lie at one host, the same for all that ask; asking takes
two to four milliseconds. Requests of programs under way wait there, in order of arrival
over all hosts; only new programs are refused at once. A host that doesn't answer is
passed over: others pass the question on to whoever keeps the tokens by then.
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
"""Time for a keeper's answer: the way to another zone and back takes two milliseconds,
and a host that is busy answers after some more."""

MIN_WAIT_SECONDS = 0.09
"""Shortest wait for a keeper: three of them may be asked in it."""

REPEAT_INTERVAL_SECONDS = 0.25
"""A request that waits at a keeper asks again after so long: the keeper may have died
since, or its answer been lost."""

CLOSED_RETENTION_SECONDS = 2.0
"""A token that comes for a request that has left is returned for so long."""

MAX_RETRY_SECONDS = 2.0
"""Longest time that a caller is told to stay away: longer than most outages of a
keeper."""

MIN_REMAINING_SECONDS = 0.001
"""With less time left no keeper's answer arrives any more."""

REQUEST_NUMBER_BITS = 53
"""Of a request's number: what JSON numbers hold exactly everywhere."""

MIN_RETRY_SECONDS = 0.1
"""Shortest such time: some ways to a keeper and back."""


@dataclass(slots=True)
class _PendingRequest:
    """A request that waits for a token, and what it was told last."""

    program: str
    may_be_new: bool
    kind: str
    answered: asyncio.Event = field(default_factory=asyncio.Event)
    decision: TokenDecision | None = None

    def set_decision(self, decision: TokenDecision) -> None:
        """Take an answer; a token that was granted stays so."""
        if not isinstance(self.decision, Granted):
            self.decision = decision
        self.answered.set()

    async def wait_for_decision(self, seconds: float) -> TokenDecision | None:
        """Return the next answer; None if there is none in time."""
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                await self.answered.wait()
        except TimeoutError:
            return None
        self.answered.clear()
        return self.decision


@dataclass(slots=True)
class _CustomerRequests:
    """Requests of one customer that wait for an answer, by their numbers."""

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
        Sends a message to an address; it may be lost.
    log : EventLog
    extra : float
        Requests by which any customer may exceed its rate and burst.
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
        """Part of all customers' rates that comes in at this host."""
        return self._pools.share

    @share.setter
    def share(self, share: float) -> None:
        self._pools.share = share

    async def run(self) -> None:
        """Hand tokens on until cancelled."""
        await self._pools.run()

    def update_customers(self, customers: tuple[CustomerTerms, ...]) -> None:
        """Take the limits of all customers."""
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
        """Count a request; raises `Refusal` when it is over the rate.

        Parameters
        ----------
        request_id : str
        terms : CustomerTerms
        wait_seconds : float
            How long the request may wait for its turn; 0 for one that is refused
            when there is no token to spare.
        program : str
            Key of the program that it belongs to; empty without one.
        may_be_new : bool
            Whether it may be the first of its program.
        kind : str
            Of the program; empty where the request doesn't tell.
        """
        if terms.rate_per_second <= 0:
            return
        account = self._requests.setdefault(terms.name, _CustomerRequests())
        is_first_come = not account.waiting and not may_be_new
        if is_first_come and self._pools.take_local_token(terms):
            return
        # Drawn at random: who can't read it can't forge an answer to it.
        number = secrets.randbits(REQUEST_NUMBER_BITS)
        pending = account.waiting[number] = _PendingRequest(program, may_be_new, kind)
        try:
            seconds = await self._wait_for_token(terms, number, pending, wait_seconds)
        finally:
            del account.waiting[number]
            self._pools.cancel(terms.name, self._request_key(number))
            if not isinstance(pending.decision, Granted):
                self._close(account, number)
        if not isinstance(pending.decision, Granted):
            self._refuse(request_id, pending, terms, seconds)

    def refund(self, terms: CustomerTerms) -> None:
        """Take back the token of a request that was sent to no target."""
        if terms.rate_per_second > 0:
            self._pools.return_token(terms.name)

    def handle_message(self, message: RateMessage, sender: str) -> None:
        """Take another host's message."""
        match message:
            case AskRate():
                self._pools.answer_request(message, sender)
            case HandRate():
                self._pools.receive_transfer(message, sender)
            case RateAnswer(customer, boot, number) if boot == self._own.boot:
                self._handle_answer(customer, number, _decision_of(message))

    def _handle_answer(self, customer, number, decision):
        account = self._requests.get(customer)
        if account is None:
            return
        pending = account.waiting.get(number)
        if pending is not None:
            pending.set_decision(decision)
        elif isinstance(decision, Granted) and account.closed.pop(number, None):
            # Once only: an answer that comes twice must not return two tokens.
            self._pools.return_token(customer)

    def _handle_grant(self, customer, number):
        self._handle_answer(customer, number, Granted())

    def _close(self, account, number):
        """Remember a request that has left, for a token that may be on its way."""
        now = asyncio.get_running_loop().time()
        account.closed[number] = now
        for old in list(account.closed):
            if now - account.closed[old] < CLOSED_RETENTION_SECONDS:
                break
            del account.closed[old]

    def _request_key(self, number) -> RequestKey:
        return RequestKey(self._own.ip, self._own.boot, number)

    async def _wait_for_token(self, terms, number, pending, wait_seconds) -> float:
        """Ask until there is a token or time is up; return when to come back."""
        loop = asyncio.get_running_loop()
        until = loop.time() + max(MIN_WAIT_SECONDS, wait_seconds)
        seconds = MIN_RETRY_SECONDS
        while (left := until - loop.time()) > MIN_REMAINING_SECONDS:
            query_wait_seconds = min(left, wait_seconds)
            match await self._query_owner(terms, number, pending, query_wait_seconds):
                case Granted():
                    break
                case Queued():
                    pause = min(REPEAT_INTERVAL_SECONDS, until - loop.time())
                    if isinstance(await pending.wait_for_decision(pause), Granted):
                        break
                case Denied(seconds):
                    if pending.may_be_new or not wait_seconds:
                        break
                    if isinstance(
                        await pending.wait_for_decision(ANSWER_TIMEOUT_SECONDS), Granted
                    ):
                        break
        return seconds

    async def _query_owner(
        self, terms, number, pending, query_wait_seconds
    ) -> TokenDecision | None:
        """Return what a keeper says; None if it says nothing."""
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
        decision = await pending.wait_for_decision(ANSWER_TIMEOUT_SECONDS)
        if decision is None:
            self._pools.suspect(owner)
        return decision

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
