"""Tokens at an entry host, for all customers.

Load pattern: a request arrives and must be admitted or refused at once, while the
tokens are at the holder in this zone, or in another zone, or lie at this host.

Without it: each request costs a round trip to the holder, a refused customer
multiplies its refusals into draws, and the share of a zone without traffic lies
unused while another zone refuses.

Grounds: a batch is used only while its life, counted from BEFORE the draw was
sent, lasts; the holder counts it from later on, so that it is never counted as
gone while it is used. Own zone first, then the others: a skewed customer gets its
whole rate from any zone, and a zone that is cut off goes on with its own share.
"""

from swifttide_core.documents import Customer
from swifttide_core.limits._batch import Batch
from swifttide_core.limits._customer_share import WHOLE
from swifttide_core.limits._demand import Demand
from swifttide_core.limits._draw_failed import DrawFailed
from swifttide_core.limits._empty_zone import EmptyZone
from swifttide_core.limits._need_draw import NeedDraw
from swifttide_core.limits._rate_refused import RateRefused
from swifttide_core.limits._return_order import ReturnOrder
from swifttide_core.limits._taken import Taken
from swifttide_core.limits._token_bucket import TOLERANCE
from swifttide_core.limits._zone_shares import zone_order

FAILED_SECONDS = 0.5
"""How long a holder that was not reached is passed over."""

MIN_SPEND_SECONDS = 0.02
"""Shortest life that is asked for a token that is spent at once: many trips."""

MAX_SPEND_SECONDS = 0.5
"""Longest such life."""

SPEND_TRIPS = 4.0
"""Life of such a token in round trips, of the longest of late: a token that comes
too late is lost, and one that lives long holds up the refill."""

TRIP_FADE = 0.98
"""What remains of the longest round trip with each further answer."""

HORIZON_SECONDS = 0.5
"""Demand that a draw asks ahead for."""

MIN_WAIT_SECONDS = 0.01
"""Shortest wait that a refused caller is told: some trips to a holder."""

KEEP_SECONDS = 0.5
"""Silence of a customer after which its tokens go back."""

IDLE_SECONDS = 60.0
"""Silence after which a customer is forgotten."""


class _Held:
    """A batch, and what is left of it."""

    def __init__(self, zone, batch, expires_at):
        self.zone = zone
        self.batch = batch
        self.rest = batch.tokens
        self.expires_at = expires_at


class _Purse:
    """What an entry host knows of one customer."""

    def __init__(self, now, order):
        self.order = order
        self.held = []
        self.done = {}
        self.closed = {}
        self.demand = Demand(now)
        self.seen_at = now


class _InFlight:
    """A draw that was ordered and has no answer yet."""

    def __init__(self, customer, zone, sent_at, asked, partial):
        self.customer = customer
        self.zone = zone
        self.sent_at = sent_at
        self.asked = asked
        self.partial = partial


class EntryAllowance:
    """Batches of one entry host.

    Parameters
    ----------
    host : str
        Name of this host and incarnation, for the draw ids.
    zones : tuple of str
        Zones to draw in, the own one first.
    """

    def __init__(self, host, zones):
        self.host = host
        self.zones = zones
        self._purses = {}
        self._in_flight = {}
        self._n_draws = 0
        self._trip = 0.0

    def take(self, now: float, customer: Customer) -> Taken | NeedDraw | RateRefused:
        """Spend a token on a request that arrives.

        Parameters
        ----------
        now : float
            Monotonic seconds; for a draw, the time from which its batch counts.
        customer : Customer
            Customer of the request, with the limits in force here.

        Returns
        -------
        Taken, NeedDraw or RateRefused
            After ``NeedDraw``, ``settle`` says how the request goes on.
        """
        purse = self._purses.get(customer.name)
        if purse is None:
            purse = _Purse(now, zone_order(customer, self.zones))
            self._purses[customer.name] = purse
        purse.seen_at = now
        purse.demand.arrive(now)
        return self._decide(now, customer.name, purse, frozenset())

    def settle(
        self, now: float, draw_id: str, answer: Batch | RateRefused | DrawFailed
    ) -> Taken | NeedDraw | RateRefused | None:
        """Go on with the request that ordered a draw.

        Returns
        -------
        Taken, NeedDraw, RateRefused or None
            None for an answer that comes a second time or too late: the request
            that it belonged to has gone on already.
        """
        flight = self._in_flight.pop(draw_id, None)
        if flight is None:
            return None
        purse = self._purses[flight.customer]
        match answer:
            case Batch():
                self._note_trip(now - flight.sent_at)
                self._accept(purse, flight, answer)
            case RateRefused():
                self._note_trip(now - flight.sent_at)
                self._close(now, purse, flight.zone, answer)
            case DrawFailed():
                unreached = EmptyZone.unreached(now, FAILED_SECONDS)
                purse.closed[flight.zone] = unreached
        asked = flight.asked | {(flight.zone, flight.partial)}
        return self._decide(now, flight.customer, purse, asked)

    def returns(self, now: float) -> tuple[ReturnOrder, ...]:
        """Give up the batches that are of no use here; call it every 0.1 s or so."""
        orders = []
        waiting = {flight.customer for flight in self._in_flight.values()}
        for customer in list(self._purses):
            purse = self._purses[customer]
            self._drop_old(now, purse)
            if now - purse.seen_at >= KEEP_SECONDS:
                self._lay_down(purse)
            orders += self._give_up(customer, purse)
            if now - purse.seen_at >= IDLE_SECONDS and customer not in waiting:
                del self._purses[customer]
        return tuple(orders)

    def _decide(self, now, customer, purse, asked):
        self._drop_old(now, purse)
        if self._spend(purse):
            return Taken()
        known = sum(closed.fraction for closed in purse.closed.values())
        for zone in purse.order:
            if known >= WHOLE:
                break
            if zone not in purse.closed and (zone, False) not in asked:
                return self._order(now, customer, purse, zone, asked, False)
        return self._join_parts(now, customer, purse, asked)

    def _join_parts(self, now, customer, purse, asked):
        """Draw parts of a token in several zones when they make up a whole one."""
        held = sum(h.rest for h in purse.held)
        parts = [
            (zone, purse.closed[zone].available(now))
            for zone in purse.order
            if zone in purse.closed and (zone, True) not in asked
        ]
        if held + sum(part for _, part in parts) + TOLERANCE >= 1.0:
            zone = max(parts, key=lambda p: p[1])[0]
            return self._order(now, customer, purse, zone, asked, True)
        return self._refuse(now, purse)

    def _refuse(self, now, purse):
        # Parts that did not make up a whole token go back with the next draw.
        available = sum(h.rest for h in purse.held)
        self._lay_down(purse)
        rate = 0.0
        waits = [FAILED_SECONDS]
        for closed in purse.closed.values():
            available += closed.available(now)
            rate += closed.rate
            waits.append(max(0.0, closed.until - now))
        if rate > 0.0:
            waits = [max(0.0, 1.0 - available) / rate]
        return RateRefused(max(MIN_WAIT_SECONDS, min(waits)), available, rate)

    def _order(self, now, customer, purse, zone, asked, partial):
        self._n_draws += 1
        draw_id = f"{self.host}-{self._n_draws}"
        held = sum(h.rest for h in purse.held)
        if partial:
            wanted = 1.0 - held
        else:
            wanted = 1.0 + purse.demand.rate(now) * HORIZON_SECONDS
        flight = _InFlight(customer, zone, now, asked, partial)
        self._in_flight[draw_id] = flight
        done = tuple(purse.done.pop(zone, ()))
        spend = min(max(MIN_SPEND_SECONDS, SPEND_TRIPS * self._trip), MAX_SPEND_SECONDS)
        return NeedDraw(customer, zone, draw_id, wanted, partial, spend, done)

    def _note_trip(self, seconds):
        self._trip = max(seconds, TRIP_FADE * self._trip)

    def _close(self, now, purse, zone, refused):
        purse.closed[zone] = EmptyZone.from_refusal(now, refused)
        for other, known in refused.others.items():
            if other not in purse.closed and other in purse.order:
                purse.closed[other] = EmptyZone.from_refusal(now, known)

    def _accept(self, purse, flight, batch):
        # Counted from when the answer came, a batch would outlive the holder's
        # count of it by the time the answer took, and be spent twice.
        expires_at = flight.sent_at + batch.ttl_seconds
        purse.held.append(_Held(flight.zone, batch, expires_at))
        purse.closed.pop(flight.zone, None)

    def _spend(self, purse):
        if sum(h.rest for h in purse.held) + TOLERANCE < 1.0:
            return False
        due = 1.0
        for held in sorted(purse.held, key=lambda h: h.expires_at):
            part = min(due, held.rest)
            held.rest -= part
            due -= part
        self._sort_out(purse)
        return True

    def _sort_out(self, purse):
        for held in purse.held:
            if held.rest <= TOLERANCE and held.batch.tokens != 1.0:
                spent = Batch(held.batch.draw_id, 0.0, 0.0)
                purse.done.setdefault(held.zone, []).append(spent)
        purse.held = [h for h in purse.held if h.rest > TOLERANCE]

    def _drop_old(self, now, purse):
        if any(closed.until <= now for closed in purse.closed.values()):
            purse.closed = {z: c for z, c in purse.closed.items() if c.until > now}
        if any(h.expires_at <= now for h in purse.held):
            purse.held = [h for h in purse.held if h.expires_at > now]

    def _lay_down(self, purse):
        for held in purse.held:
            rest = Batch(held.batch.draw_id, held.rest, 0.0)
            purse.done.setdefault(held.zone, []).append(rest)
        purse.held = []

    def _give_up(self, customer, purse):
        orders = [
            ReturnOrder(customer, zone, batch)
            for zone, batches in purse.done.items()
            for batch in batches
        ]
        purse.done = {}
        return orders
