"""Letting requests in."""

import asyncio
import random

from swifttide_core.forwarding import (
    AllowedRegions,
    CustomerTerms,
    RequestKind,
    Route,
    intersect_regions,
)
from swifttide_core.strikes import Refused, fingerprint_of
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.budgets._account_rows import program_key
from swifttide_daemon.gateway.budgets._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway.budgets._reservation import Reservation
from swifttide_daemon.gateway.callers._caller_channel import CallerChannel
from swifttide_daemon.gateway.callers._caller_request import CallerRequest
from swifttide_daemon.gateway.callers._job import Job, Progress, age_of
from swifttide_daemon.gateway.callers._program_entry import ProgramEntry
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.rates._rate_keeper import RateKeeper
from swifttide_daemon.gateway.targets._strike_keeper import StrikeKeeper
from swifttide_daemon.gateway.turns._turn_keeper import TurnKeeper

MAX_RATE_WAIT_SECONDS = 1.5
"""Longest wait for a customer's rate: a turn of a program is sent again twice, and
what waited longer would mostly be late."""

RATE_WAIT_PART = 0.5
"""Part of a request's time that it may spend waiting for its customer's rate; the rest
is for the work."""

STORE_RETRY_SECONDS = 0.5
"""When to come back to a store that didn't answer within the request's time."""

EMPTIED_RETRY_SECONDS = 1.0
"""When to come back while all zones with targets of a service are emptied: an operator
takes one back within seconds at the earliest."""

PROGRAM_KEY_CHARS = 12
"""Of a program's key in questions about rates: enough for the programs of a customer
that are under way at once."""

DEFAULT_PATIENCE_SECONDS = 60.0
"""For a request whose caller and route name no time."""


class Admission:
    """Decides whether a request is let in, and finds what it needs to run.

    Parameters
    ----------
    beliefs : Beliefs
    budgets : BudgetKeeper
    turns : TurnKeeper
    rates : RateKeeper
    strikes : StrikeKeeper
    entry : ProgramEntry
    """

    def __init__(
        self,
        beliefs: Beliefs,
        budgets: BudgetKeeper,
        turns: TurnKeeper,
        rates: RateKeeper,
        strikes: StrikeKeeper,
        entry: ProgramEntry,
    ):
        self._beliefs = beliefs
        self._budgets = budgets
        self._turns = turns
        self._rates = rates
        self._strikes = strikes
        self._entry = entry

    async def admit(
        self, req: CallerRequest, channel: CallerChannel, progress: Progress
    ) -> Job:
        """Let a request in; raises `Refusal`."""
        route, terms = self._check(req)
        patience = req.patience_seconds or DEFAULT_PATIENCE_SECONDS
        expires_at = req.received_at + min(patience, route.timeout_seconds)
        service = self._beliefs.config.service(self._pick_service(route))
        homes = _homes_of(route, terms)
        self._check_targets(service, homes)
        customer = terms.name if terms else ""
        fingerprint = self._check_strikes(req, customer)
        may_be_new = self._may_be_new(req, customer)
        if req.turn.budget_tokens and route.kind is RequestKind.STREAMING:
            self._entry.look(service)
            if may_be_new:
                await self._check_entry(req, customer, service, homes)
        if terms:
            await self._take_token(req, terms, expires_at, may_be_new, _kind_of(route))
            progress.rate_seconds = age_of(req)
        try:
            async with asyncio.timeout_at(expires_at):
                body, reservation = await self._prepare(req, route, customer, homes)
        except TimeoutError:
            self._refund(terms)
            raise Refusal(503, "store_too_slow", STORE_RETRY_SECONDS) from None
        except Refusal:
            self._refund(terms)
            raise
        return Job(
            req,
            route,
            service,
            terms,
            expires_at,
            body,
            reservation,
            channel,
            fingerprint,
            homes,
        )

    def take_back(self, job: Job) -> None:
        """Undo what a job that was sent to no target has used up."""
        self._refund(job.terms)

    def settle(self, job: Job, progress: Progress) -> None:
        """Return the tokens that a turn didn't generate."""
        if job.reservation is not None:
            used = progress.n_events * job.service.tokens_per_event
            self._budgets.settle(job.reservation, used)

    def _refund(self, terms):
        if terms:
            self._rates.refund(terms)

    def _check(self, req) -> tuple[Route, CustomerTerms | None]:
        """Find route and customer; raises `Refusal`."""
        cfg = self._beliefs.config
        if cfg is None or not self._beliefs.targets_known:
            raise Refusal(503, "starting", 0.5)
        route = cfg.find_route(req.host, req.path)
        if route is None:
            raise Refusal(404, "no_such_route")
        terms = cfg.customer_of(req.key) if req.key else None
        if terms is None and cfg.needs_keys and not route.public:
            raise Refusal(401, "unknown_key")
        return route, terms

    def _check_targets(self, service, homes):
        """Refuse a request at once that no target may run, before it costs anything."""
        if self._beliefs.targets_of(service.name, homes):
            return
        if homes is not None and self._beliefs.targets_of(service.name):
            raise Refusal(503, "no_target_at_home", EMPTIED_RETRY_SECONDS)
        if self._beliefs.emptied_zones:
            raise Refusal(503, "zones_emptied", EMPTIED_RETRY_SECONDS)
        raise Refusal(503, "no_target", random.uniform(0.1, 0.4))

    def _may_be_new(self, req, customer) -> bool:
        """Whether a request may be the first of its program."""
        turn = req.turn
        if not turn.program or not turn.budget_tokens or turn.previous:
            return False
        return not self._budgets.knows(customer, turn.program)

    async def _check_entry(self, req, customer, service, homes):
        """Refuse a new program where targets have no place for it.

        Turned away, a program under way would be lost with all that was spent on it.
        After a loss of hosts nobody remembers it: its row tells.
        """
        try:
            program = program_key(customer, req.turn.program)
            await self._entry.check(
                req.id, service, program, req.program_seconds, homes
            )
        except Refusal:
            if not await self._budgets.has_account(customer, req.turn.program):
                raise

    async def _take_token(self, req, terms, expires_at, may_be_new, kind):
        """Count the request against its customer's rate; raises `Refusal`.

        A program that is refused its next call is lost with all that was spent on
        it; a new one has cost nothing yet.
        """
        turn = req.turn
        if not turn.program:
            await self._rates.take(req.id, terms, 0.0)
            return
        left = expires_at - asyncio.get_running_loop().time()
        wait = min(MAX_RATE_WAIT_SECONDS, left * RATE_WAIT_PART)
        program = program_key(terms.name, turn.program)[:PROGRAM_KEY_CHARS]
        await self._rates.take(req.id, terms, wait, program, may_be_new, kind)

    def _check_strikes(self, req, customer):
        """Refuse a request that crashes whatever runs it; return its fingerprint."""
        kind = f"{customer} {req.method} {req.path}"
        fingerprint = fingerprint_of(req.body, kind)
        match self._strikes.standing(fingerprint):
            case Refused(seconds):
                raise Refusal(503, "crashes_targets", seconds)
        return fingerprint

    def _pick_service(self, route):
        if len(route.services) == 1:
            return route.services[0].service
        weights = [w.weight for w in route.services]
        picked = random.choices(route.services, weights)[0]
        return picked.service

    async def _prepare(
        self, req, route, customer, homes
    ) -> tuple[bytes, Reservation | None]:
        """Read the history and reserve tokens at the same time.

        One after the other they would take a second while the store is slow, and
        callers leave after little more.
        """
        reading = asyncio.create_task(self._whole_input(req, route, customer, homes))
        reserving = asyncio.create_task(self._reserve(req, route, customer))
        try:
            await asyncio.gather(reading, reserving)
        except BaseException:
            reading.cancel()
            reserving.cancel()
            await asyncio.wait((reading, reserving))
            if not reserving.cancelled() and reserving.exception() is None:
                reservation = reserving.result()
                if reservation is not None:
                    self._budgets.settle(reservation, 0)
            if not reading.cancelled():
                # Retrieved here, or it would be logged as lost.
                reading.exception()
            raise
        return reading.result(), reserving.result()

    async def _whole_input(self, req, route, customer, homes):
        """Return what the target is to read: the history, then the new input."""
        if not (route.keeps_turns and req.turn.previous):
            return req.body
        history = await self._turns.transcript(
            req.id, customer, req.turn.previous, route.keep_seconds, homes
        )
        return history + req.body

    async def _reserve(self, req, route, customer):
        turn = req.turn
        if not (turn.program and turn.budget_tokens):
            return None
        if route.kind is not RequestKind.STREAMING:
            return None
        return await self._budgets.reserve(
            req.id, customer, turn.program, turn.budget_tokens, turn.most_tokens
        )


def _kind_of(route) -> str:
    """Return the kind of a program by one of its requests; empty for a call."""
    return route.name if route.kind is RequestKind.STREAMING else ""


def _homes_of(route, terms) -> AllowedRegions:
    """Return the regions to which route and customer bind a request."""
    return intersect_regions(route.regions, terms.regions if terms else frozenset())
