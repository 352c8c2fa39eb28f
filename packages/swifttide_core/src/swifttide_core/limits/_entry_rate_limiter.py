"""Admission of requests by rate limit at an entry host, for all customers.

Load pattern: a request arrives and must be admitted or refused immediately, while the
tokens of its customer are with the holders in this zone and other zones, possibly as
fractions of a token.

Without this module, each refused request would cause draws in every zone, a share would
stay unused in a zone without traffic, and tokens that arrive late would be spent twice.

A token may be used only during its lifetime, which is counted from the time before the
draw was sent. The holder counts the same lifetime from a later time, so that it never
counts a token as expired that can still be used. The own zone is asked first, then the
others. A customer with uneven traffic thereby gets its whole rate from any zone, and an
isolated zone continues with its own share.

Entry hosts do not store tokens for later requests. Storing them saves 15% of the
messages with 4 hosts and none with 380, and causes three times as many refusals after a
burst.
"""

from dataclasses import dataclass

from swifttide_core.documents import Customer
from swifttide_core.limits._batch import Batch
from swifttide_core.limits._draw_failed import DrawFailed
from swifttide_core.limits._draw_order import DrawOrder
from swifttide_core.limits._rate_admitted import RateAdmitted
from swifttide_core.limits._rate_refused import RateRefused
from swifttide_core.limits._return_order import ReturnOrder
from swifttide_core.limits._token_bucket import TOKEN_TOLERANCE
from swifttide_core.limits._unavailable_zone import UnavailableZone
from swifttide_core.limits._zone_shares import FULL_FRACTION, draw_zone_order

FAILED_DRAW_BACKOFF_SECONDS = 0.5
"""Time for which a holder that was not reached is skipped."""

MIN_RETRY_AFTER_SECONDS = 0.01
"""Minimum retry-after of a refusal, which covers several round trips to a holder."""

MIN_TOKEN_TTL_SECONDS = 0.02
"""Minimum requested lifetime of a token that is spent on arrival: many round trips."""

MAX_TOKEN_TTL_SECONDS = 0.5
"""Maximum requested lifetime of a token that is spent on arrival."""

TOKEN_TTL_ROUND_TRIPS = 4.0
"""Requested lifetime of a token that is spent on arrival, in multiples of the longest
recent round trip. A token that arrives after its lifetime is lost, and a long lifetime
delays the refill."""

ROUND_TRIP_DECAY_FACTOR = 0.98
"""Factor by which the longest recent round trip decays with each answer."""

CUSTOMER_IDLE_SECONDS = 60.0
"""Time without requests after which the state of a customer is evicted."""


@dataclass(frozen=True, slots=True)
class _DrawnBatch:
    """Batch that was drawn for a request, with the end of its lifetime."""

    zone: str
    batch: Batch
    expires_at: float


@dataclass(frozen=True, slots=True)
class _PendingRequest:
    """Request that waits for tokens.

    ``tried_draws`` has pairs of a zone and whether the draw was partial.
    """

    customer: str
    tried_draws: frozenset[tuple[str, bool]] = frozenset()
    batches: tuple[_DrawnBatch, ...] = ()

    def held_tokens(self, now):
        return sum(
            drawn.batch.tokens for drawn in self.batches if now < drawn.expires_at
        )


@dataclass(frozen=True, slots=True)
class _InFlightDraw:
    """Draw that was ordered and has not been answered."""

    request: _PendingRequest
    zone: str
    sent_at: float


class _CustomerState:
    """State of one customer at an entry host."""

    def __init__(self, order):
        self.draw_order = order
        self.unused_batches = {}
        self.unavailable_zones = {}
        self.last_request_at = 0.0


class EntryRateLimiter:
    """Rate limiter of one entry host, which draws tokens from the holders.

    It is not thread-safe; the caller must lock it.

    Parameters
    ----------
    host : str
        Name and incarnation of this host, used in draw ids.
    zones : tuple of str
        Zones to draw from, beginning with the own zone.
    """

    def __init__(self, host, zones):
        self.host = host
        self.zones = zones
        self._customer_states = {}
        self._in_flight = {}
        self._n_draws = 0
        self._max_round_trip_seconds = 0.0
        self._customers_with_returns = set()

    @property
    def known_customers(self) -> frozenset[str]:
        """Customers whose state is stored."""
        return frozenset(self._customer_states)

    def admit(
        self, now: float, customer: Customer
    ) -> RateAdmitted | DrawOrder | RateRefused:
        """Decide on a new request.

        Parameters
        ----------
        now : float
            Monotonic seconds. The lifetime of drawn tokens is counted from this time.
        customer : Customer
            Customer of the request, with the limits in force at this host.

        Returns
        -------
        RateAdmitted, DrawOrder or RateRefused
            After ``DrawOrder``, the decision continues with ``settle``.
        """
        state = self._customer_states.pop(customer.name, None) or _CustomerState(())
        self._customer_states[customer.name] = state
        state.draw_order = draw_zone_order(customer, self.zones)
        state.last_request_at = now
        return self._decide(now, state, _PendingRequest(customer.name))

    def settle(
        self, now: float, draw_id: str, answer: Batch | RateRefused | DrawFailed
    ) -> RateAdmitted | DrawOrder | RateRefused | None:
        """Continue the decision on a request with the answer to its draw.

        Returns
        -------
        RateAdmitted, DrawOrder, RateRefused or None
            None for a repeated or late answer, whose request has already continued.
        """
        flight = self._in_flight.pop(draw_id, None)
        if flight is None:
            return None
        state = self._customer_states[flight.request.customer]
        request = flight.request
        match answer:
            case Batch():
                self._record_round_trip(now - flight.sent_at)
                request = self._add_batch(flight, answer)
            case RateRefused():
                self._record_round_trip(now - flight.sent_at)
                self._record_refusal(now, state, flight.zone, answer)
            case DrawFailed():
                unavailable = UnavailableZone.from_failure(
                    now, FAILED_DRAW_BACKOFF_SECONDS
                )
                state.unavailable_zones[flight.zone] = unavailable
        return self._decide(now, state, request)

    def due_returns(self, now: float) -> tuple[ReturnOrder, ...]:
        """Return the batches to give back that no request can use.

        Call it about every 0.1 s. It also evicts idle customers.
        """
        orders = [
            ReturnOrder(customer, zone, batch)
            for customer in self._customers_with_returns
            for zone, batches in self._customer_states[customer].unused_batches.items()
            for batch in batches
        ]
        for customer in self._customers_with_returns:
            self._customer_states[customer].unused_batches = {}
        self._customers_with_returns = set()
        self._evict_idle_customers(now)
        return tuple(orders)

    def _evict_idle_customers(self, now):
        """Evict idle customers; the states are ordered by their last request."""
        waiting = {flight.request.customer for flight in self._in_flight.values()}
        while self._customer_states:
            customer = next(iter(self._customer_states))
            is_idle = (
                now - self._customer_states[customer].last_request_at
                >= CUSTOMER_IDLE_SECONDS
            )
            if not is_idle or customer in waiting:
                return
            del self._customer_states[customer]

    def _decide(self, now, state, request):
        if request.held_tokens(now) + TOKEN_TOLERANCE >= 1.0:
            return RateAdmitted()
        if any(
            known_zone.until <= now for known_zone in state.unavailable_zones.values()
        ):
            state.unavailable_zones = {
                z: c for z, c in state.unavailable_zones.items() if c.until > now
            }
        known_fraction = sum(
            known_zone.fraction for known_zone in state.unavailable_zones.values()
        )
        for zone in state.draw_order:
            if known_fraction >= FULL_FRACTION:
                break
            if (
                zone not in state.unavailable_zones
                and (zone, False) not in request.tried_draws
            ):
                return self._start_draw(now, state, request, zone, False)
        return self._draw_partial(now, state, request)

    def _draw_partial(self, now, state, request):
        """Draw fractions of a token from several zones if they add up to a whole token.

        The refill since their answers is not counted: for a customer above its rate,
        other hosts have already drawn it, and these draws would fail.
        """
        available_tokens = {
            zone: state.unavailable_zones[zone].available
            for zone in state.draw_order
            if zone in state.unavailable_zones
            and (zone, True) not in request.tried_draws
        }
        if (
            request.held_tokens(now) + sum(available_tokens.values()) + TOKEN_TOLERANCE
            < 1.0
        ):
            return self._refuse(now, state, request)
        zone = max(available_tokens, key=available_tokens.__getitem__)
        return self._start_draw(now, state, request, zone, True)

    def _refuse(self, now, state, request):
        if request.batches:
            self._customers_with_returns.add(request.customer)
        for drawn in request.batches:
            state.unused_batches.setdefault(drawn.zone, []).append(drawn.batch)
        available = request.held_tokens(now)
        rate = 0.0
        waits = [FAILED_DRAW_BACKOFF_SECONDS]
        for known_zone in state.unavailable_zones.values():
            available += known_zone.expected_tokens(now)
            rate += known_zone.rate
            waits.append(max(0.0, known_zone.until - now))
        wait = max(0.0, 1.0 - available) / rate if rate > 0.0 else min(waits)
        return RateRefused(max(MIN_RETRY_AFTER_SECONDS, wait), available, rate)

    def _start_draw(self, now, state, request, zone, partial):
        self._n_draws += 1
        draw_id = f"{self.host}-{self._n_draws}"
        wanted = 1.0 - request.held_tokens(now)
        tried_draws = request.tried_draws | {(zone, partial)}
        request = _PendingRequest(request.customer, tried_draws, request.batches)
        self._in_flight[draw_id] = _InFlightDraw(request, zone, now)
        returned = tuple(state.unused_batches.pop(zone, ()))
        ttl = min(
            max(
                MIN_TOKEN_TTL_SECONDS,
                TOKEN_TTL_ROUND_TRIPS * self._max_round_trip_seconds,
            ),
            MAX_TOKEN_TTL_SECONDS,
        )
        return DrawOrder(
            request.customer, zone, draw_id, wanted, partial, ttl, returned
        )

    def _add_batch(self, flight, batch):
        # If the lifetime were counted from the arrival of the answer, a token would be
        # usable after the holder counts it as expired, and the burst be exceeded.
        expires_at = flight.sent_at + batch.ttl_seconds
        drawn = _DrawnBatch(flight.zone, batch, expires_at)
        request = flight.request
        return _PendingRequest(
            request.customer, request.tried_draws, (*request.batches, drawn)
        )

    def _record_round_trip(self, seconds):
        self._max_round_trip_seconds = max(
            seconds, ROUND_TRIP_DECAY_FACTOR * self._max_round_trip_seconds
        )

    def _record_refusal(self, now, state, zone, refused):
        state.unavailable_zones[zone] = UnavailableZone.from_refusal(now, refused)
        for other, known in refused.others.items():
            if other not in state.unavailable_zones and other in state.draw_order:
                state.unavailable_zones[other] = UnavailableZone.from_refusal(
                    now, known
                )
