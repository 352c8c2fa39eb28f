"""Decides whether a caller's request is admitted, and gathers what it needs to run.

The decision uses the routes, customers and targets in force, the fingerprints of
requests that crashed targets, the load of the targets, the customer's rate limit and
the token budget of the program. An admitted request becomes a `Job`; any other one is
answered with a `Refusal`.
"""

import asyncio
import random
from collections.abc import Callable

from swifttide_core.forwarding import (
    AllowedRegions,
    CustomerTerms,
    RequestKind,
    Route,
    intersect_regions,
)
from swifttide_core.resumption import KnownOrigin, TurnEvent
from swifttide_core.strikes import Refused, fingerprint_of
from swifttide_daemon.gateway._beliefs import Beliefs
from swifttide_daemon.gateway.budgets._account_rows import program_key
from swifttide_daemon.gateway.budgets._budget_keeper import BudgetKeeper
from swifttide_daemon.gateway.budgets._reservation import Reservation
from swifttide_daemon.gateway.callers._caller_channel import CallerChannel
from swifttide_daemon.gateway.callers._caller_request import CallerRequest
from swifttide_daemon.gateway.callers._job import (
    Job,
    Progress,
    program_seconds_left,
    request_age_seconds,
    work_class,
)
from swifttide_daemon.gateway.callers._program_entry import ProgramEntry
from swifttide_daemon.gateway.callers._refusal import (
    HOST_STOPPING,
    NO_TARGET_OF_ORIGIN,
    Refusal,
)
from swifttide_daemon.gateway.rates._rate_limiter import RateLimiter
from swifttide_daemon.gateway.streams._request_key import request_key
from swifttide_daemon.gateway.streams._stream_origins import StreamOrigins
from swifttide_daemon.gateway.streams._turn_events import TurnEvents
from swifttide_daemon.gateway.targets._strike_keeper import StrikeKeeper
from swifttide_daemon.gateway.turns._turn_keeper import (
    MAX_TRANSCRIPT_BYTES,
    TurnKeeper,
)

MAX_RATE_WAIT_SECONDS = 1.5
"""Longest time that a request waits for its customer's rate limiter. Callers retry a
turn of a program twice; a request that waited longer would mostly miss its deadline."""

RATE_WAIT_FRACTION = 0.5
"""Fraction of the time left to a request that it may wait for its customer's rate
limiter. The rest is left for running it."""

STORE_RETRY_SECONDS = 0.5
"""Retry delay sent to the caller when the store didn't answer before the request's
deadline."""

ZONES_EMPTIED_RETRY_SECONDS = 1.0
"""Retry delay sent to the caller when no target is available because operators have
emptied zones, or because none is in the regions allowed for the request. It takes an
operator seconds at least to put an emptied zone back into service."""

NEW_STREAM_RETRY_SECONDS = 0.0
"""Retry delay sent to the caller whose stream can't go on. Waiting doesn't help, and a
new stream can begin at once."""

PROGRAM_KEY_PREFIX_CHARS = 12
"""Characters of a program's key that identify it to the rate limiter. They are enough
to tell apart the programs of one customer that run at the same time."""

DEFAULT_REQUEST_TIMEOUT_SECONDS = 60.0
"""Time limit of a request whose caller states none. The route's time-out also
applies."""


class Admission:
    """Decides whether a request is admitted, and gathers what it needs to run.

    Parameters
    ----------
    beliefs : Beliefs
        Configuration and targets as this host knows them.
    budgets : BudgetKeeper
        Token budgets of programs.
    turns : TurnKeeper
        Stored transcripts of earlier turns.
    rates : RateLimiter
        Rate limits of customers.
    strikes : StrikeKeeper
        Fingerprints of requests that crashed targets.
    entry : ProgramEntry
        Admission of new programs by the load of the targets.
    origins : StreamOrigins
        Knows at which software streams began.
    turn_events : TurnEvents
        Knows what turns have generated that are resumed.
    requests_end_at : callable
        Returns the time of the event loop by which a request that is admitted now must
        end, because this host stops then; None while there is none.
    """

    def __init__(
        self,
        beliefs: Beliefs,
        budgets: BudgetKeeper,
        turns: TurnKeeper,
        rates: RateLimiter,
        strikes: StrikeKeeper,
        entry: ProgramEntry,
        origins: StreamOrigins,
        turn_events: TurnEvents,
        requests_end_at: Callable[[], float | None] = lambda: None,
    ):
        self._beliefs = beliefs
        self._budgets = budgets
        self._turns = turns
        self._rates = rates
        self._strikes = strikes
        self._entry = entry
        self._origins = origins
        self._turn_events = turn_events
        self._requests_end_at = requests_end_at

    async def admit(
        self, req: CallerRequest, channel: CallerChannel, progress: Progress
    ) -> Job:
        """Admit a request.

        Parameters
        ----------
        req : CallerRequest
        channel : CallerChannel
            Writes the response to the caller.
        progress : Progress
            Receives the class of the request, the time for which it waited, and the
            time at which the rate limiter passed it.

        Returns
        -------
        Job

        Raises
        ------
        Refusal
            The request isn't admitted. A rate token that it took has been refunded,
            and tokens that it reserved have been released.
        """
        route, terms = self._resolve_route(req)
        progress.work = work_class(route, terms)
        timeout = req.timeout_seconds or DEFAULT_REQUEST_TIMEOUT_SECONDS
        expires_at = req.received_at + min(timeout, route.timeout_seconds)
        self._check_stop(expires_at)
        homes = _allowed_regions(route, terms)
        customer = terms.name if terms else ""
        resumed = await self._find_resumed_origin(req, route, customer, homes)
        service = self._beliefs.config.service(
            resumed.origin.service if resumed else self._pick_service(route)
        )
        self._check_targets(service, homes)
        if resumed is not None:
            self._check_origin_serves(resumed.origin, service, homes)
        resumed_events = await self._find_resumed_events(req, route, customer, homes)
        fingerprint = ""
        if not _has_history(req, route):
            # What a target gets is known before any rate or budget is used.
            fingerprint = _fingerprint(req, customer, req.body)
            self._check_strikes(fingerprint)
        may_be_new = resumed is None and self._may_be_new(req, customer)
        if req.turn.budget_tokens and route.kind is RequestKind.STREAMING:
            self._entry.observe_load(service)
            if may_be_new:
                await self._check_program_entry(
                    req, customer, service, homes, expires_at, progress
                )
        if terms:
            await self._acquire_rate_token(
                req, terms, expires_at, may_be_new, _program_kind(route)
            )
            progress.rate_seconds = request_age_seconds(req)
        body, reservation = await self._prepare_within(
            req, route, terms, customer, homes, expires_at
        )
        if not fingerprint:
            fingerprint = _fingerprint(req, customer, body)
            try:
                self._check_strikes(fingerprint)
            except Refusal:
                self._refund(terms)
                if reservation is not None:
                    self._budgets.settle(reservation, 0)
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
            resumed,
            resumed_events,
        )

    def _check_stop(self, expires_at):
        """Refuse a request that may still run when this host stops."""
        ends_at = self._requests_end_at()
        if ends_at is not None and expires_at > ends_at:
            raise Refusal(503, HOST_STOPPING, 0.0)

    def refund_unsent(self, job: Job) -> None:
        """Refund the rate token of a job that was sent to no target."""
        self._refund(job.terms)

    def settle(self, job: Job, progress: Progress) -> None:
        """Release the reserved tokens that a turn didn't generate."""
        if job.reservation is not None:
            used = progress.n_events * job.service.tokens_per_event
            self._budgets.settle(job.reservation, used)

    def _refund(self, terms):
        if terms:
            self._rates.refund(terms)

    def _resolve_route(self, req) -> tuple[Route, CustomerTerms | None]:
        """Return the route and the customer of a request; raises `Refusal`."""
        cfg = self._beliefs.config
        if cfg is None or not self._beliefs.targets_known:
            raise Refusal(503, "starting", 0.5)
        route = cfg.find_route(req.host, req.path)
        if route is None:
            raise Refusal(404, "no_such_route")
        terms = cfg.customer_of(req.api_key) if req.api_key else None
        if terms is None and cfg.needs_keys and not route.public:
            raise Refusal(401, "unknown_key")
        return route, terms

    async def _find_resumed_origin(
        self, req, route, customer, homes
    ) -> KnownOrigin | None:
        """Return the software that began the stream that a request resumes, if any.

        Raises `Refusal` if that can't be determined, or if the route doesn't lead to
        it any more: what other software writes wouldn't fit.
        """
        is_resumption = req.last_event_id is not None or req.resumed_attempt
        if route.kind is not RequestKind.STREAMING or not is_resumption:
            return None
        found = await self._origins.find(
            customer, req.resumed_attempt, route, homes, request_key(customer, req)
        )
        if found is None:
            raise Refusal(503, "stream_unknown", NEW_STREAM_RETRY_SECONDS)
        if found.origin.service not in {s.service for s in route.services}:
            raise Refusal(503, NO_TARGET_OF_ORIGIN, NEW_STREAM_RETRY_SECONDS)
        return found

    async def _find_resumed_events(
        self, req, route, customer, homes
    ) -> tuple[TurnEvent, ...]:
        """Return the events that the caller of a resumed turn has, to be stored too.

        Raises `Refusal` if they aren't known: the turn's transcript would lack them,
        and later turns would continue from another answer than their caller has.
        """
        if req.last_event_id is None or not route.keeps_turns:
            return ()
        found = await self._turn_events.find(customer, req, route, homes)
        if found is None:
            raise Refusal(503, "turn_begin_unknown", NEW_STREAM_RETRY_SECONDS)
        return found

    def _check_origin_serves(self, origin, service, homes):
        """Refuse to resume a stream if no target of its software is left."""
        targets = self._beliefs.targets_of(service.name, homes)
        if not any(origin.fits(target) for target in targets):
            raise Refusal(503, NO_TARGET_OF_ORIGIN, NEW_STREAM_RETRY_SECONDS)

    def _check_targets(self, service, homes):
        """Refuse a request that no target may run, before it uses rate or budget."""
        if self._beliefs.targets_of(service.name, homes):
            return
        if homes is not None and self._beliefs.targets_of(service.name):
            raise Refusal(503, "no_target_at_home", ZONES_EMPTIED_RETRY_SECONDS)
        if self._beliefs.emptied_zones:
            raise Refusal(503, "zones_emptied", ZONES_EMPTIED_RETRY_SECONDS)
        raise Refusal(503, "no_target", random.uniform(0.1, 0.4))

    def _may_be_new(self, req, customer) -> bool:
        """Return whether this host can't rule out that a request starts its program."""
        turn = req.turn
        if not turn.program or not turn.budget_tokens or turn.previous:
            return False
        return not self._budgets.has_served(customer, turn.program)

    async def _check_program_entry(
        self, req, customer, service, homes, expires_at, progress
    ):
        """Refuse a new program while the targets have no capacity for it.

        A program that has already run must not be refused here: all that was spent on
        it would be lost. After hosts are lost no host may remember the program, so its
        budget account in the store decides whether it is new.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        try:
            await self._entry.check(
                req.id,
                service,
                program_key(customer, req.turn.program),
                progress.work,
                program_seconds_left(req),
                expires_at - started_at,
                homes,
            )
        except Refusal:
            if not await self._budgets.has_account(customer, req.turn.program):
                raise
        finally:
            progress.queued_seconds += loop.time() - started_at

    async def _acquire_rate_token(self, req, terms, expires_at, may_be_new, kind):
        """Count the request against its customer's rate limit; raises `Refusal`.

        Requests of programs may wait, and the rate limiter is told whether the program
        may be new: a running program whose next request is refused is lost with all
        that was spent on it, while a new one has cost nothing yet. Requests outside of
        programs don't wait.
        """
        turn = req.turn
        if not turn.program:
            await self._rates.take(req.id, terms, 0.0)
            return
        left = expires_at - asyncio.get_running_loop().time()
        wait = min(MAX_RATE_WAIT_SECONDS, left * RATE_WAIT_FRACTION)
        program = program_key(terms.name, turn.program)[:PROGRAM_KEY_PREFIX_CHARS]
        await self._rates.take(req.id, terms, wait, program, may_be_new, kind)

    def _check_strikes(self, fingerprint):
        """Refuse a request that crashes targets."""
        match self._strikes.status_of(fingerprint):
            case Refused(seconds):
                raise Refusal(503, "crashes_targets", seconds)

    def _pick_service(self, route):
        if len(route.services) == 1:
            return route.services[0].service
        weights = [w.weight for w in route.services]
        picked = random.choices(route.services, weights)[0]
        return picked.service

    async def _prepare_within(
        self, req, route, terms, customer, homes, expires_at
    ) -> tuple[bytes, Reservation | None]:
        """Prepare a request until its deadline; refund its rate token if that fails."""
        try:
            async with asyncio.timeout_at(expires_at):
                return await self._prepare(req, route, customer, homes)
        except TimeoutError:
            self._refund(terms)
            raise Refusal(503, "store_too_slow", STORE_RETRY_SECONDS) from None
        except Refusal:
            self._refund(terms)
            raise

    async def _prepare(
        self, req, route, customer, homes
    ) -> tuple[bytes, Reservation | None]:
        """Read the history and reserve tokens concurrently.

        One after the other they would take a second while the store is slow, and
        callers disconnect after little more than that. If either fails, the other is
        cancelled, and tokens that were reserved are released.
        """
        reading = asyncio.create_task(
            self._input_with_history(req, route, customer, homes)
        )
        reserving = asyncio.create_task(self._reserve_tokens(req, route, customer))
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
                # Marks the exception as retrieved; asyncio would log it otherwise.
                reading.exception()
            raise
        return reading.result(), reserving.result()

    async def _input_with_history(self, req, route, customer, homes):
        """Return the body for the target: the stored transcript, then the new input."""
        if not _has_history(req, route):
            _check_transcript_size(route, req.body)
            return req.body
        history = await self._turns.read_transcript(
            req.id, customer, req.turn.previous, route.keep_seconds, homes
        )
        _check_transcript_size(route, history + req.body)
        return history + req.body

    async def _reserve_tokens(self, req, route, customer):
        turn = req.turn
        if not (turn.program and turn.budget_tokens):
            return None
        if route.kind is not RequestKind.STREAMING:
            return None
        return await self._budgets.reserve(
            req.id, customer, turn.program, turn.budget_tokens, turn.max_tokens
        )


def _has_history(req, route) -> bool:
    """Return whether a target gets a stored history before the caller's body."""
    return bool(route.keeps_turns and req.turn.previous)


def _check_transcript_size(route, body):
    """Refuse a turn whose transcript can't be stored, whatever it generates."""
    if route.keeps_turns and len(body) > MAX_TRANSCRIPT_BYTES:
        raise Refusal(413, "turn_too_long")


def _fingerprint(req, customer, body: bytes) -> str:
    """Return the fingerprint of what a target gets for a request.

    Parameters
    ----------
    req : CallerRequest
    customer : str
    body : bytes
        Body for the target, with the history of a turn.
    """
    target = req.target.decode("latin-1")
    return fingerprint_of(body, f"{customer} {req.method} {req.host} {target}")


def _program_kind(route) -> str:
    """Return the route's name as the kind of a program.

    Empty for requests that aren't streams, such as calls of tools.
    """
    return route.name if route.kind is RequestKind.STREAMING else ""


def _allowed_regions(route, terms) -> AllowedRegions:
    """Return the regions that both route and customer allow; None for any region."""
    return intersect_regions(route.regions, terms.regions if terms else frozenset())
