"""The modules of ``swifttide_core.limits`` with trips between them.

No cluster simulator: a list of events in order of time, a holder per zone and
customer, an allowance per host. Messages take a fixed trip or fail at once.
"""

import heapq
import random
from itertools import count

from benchmarks.limits import settings as cfg
from benchmarks.limits.outcome import Outcome
from benchmarks.limits.scenario import Cut, Edit, HolderLoss, Scenario
from swifttide_core.limits import (
    CustomerShare,
    DrawFailed,
    DrawOrder,
    EntryRateLimiter,
    RateAdmitted,
    ZoneShareManager,
    ZoneShares,
)
from swifttide_core.slots import SlotKind, preferred_host, slot_of

FOREVER = float("inf")
N_SLOTS = 1024


class Fleet:
    """One run of the shares on a scenario.

    Parameters
    ----------
    scenario : Scenario
        What is played.
    moves : bool
        Whether shares follow the traffic between zones.
    joins_zones : bool
        Whether an entry host draws in other zones when its own has nothing.
    levels_out : bool
        Whether holders of different zones level out.
    """

    def __init__(self, scenario, moves=True, joins_zones=True, levels_out=True):
        self.scenario = scenario
        self.levels_out = levels_out
        self.moves = moves
        self.zones = [f"z{i}" for i in range(scenario.n_zones)]
        self.customers = {c.name: c for c in scenario.customers}
        self.known = {(c.name, z): c for c in scenario.customers for z in self.zones}
        self.rows = {
            c.name: (ZoneShares.from_config(c, self.zones), 1)
            for c in scenario.customers
        }
        self.keepers = {
            (c.name, zone): self._keeper(c.name, zone, 0.0, -FOREVER)
            for c in scenario.customers
            for zone in self.zones
        }
        self.entries = [
            EntryRateLimiter(f"h{i}", self._order(i, joins_zones))
            for i in range(scenario.n_hosts)
        ]
        self.outcome = Outcome([False] * len(scenario.arrivals))
        self.is_cut = False
        self._queue = []
        self._rng = random.Random(11)
        self._order_of = count()

    @classmethod
    def play(cls, scenario: Scenario, **options) -> Outcome:
        """Run a scenario to its end."""
        fleet = cls(scenario, **options)
        return fleet.run()

    def run(self) -> Outcome:
        """Handle all events in order of time."""
        end = self.scenario.arrivals[-1].at
        for index, arrival in enumerate(self.scenario.arrivals):
            self._at(arrival.at, self._arrive, index, arrival)
        for event in self.scenario.events:
            self._plan_event(event)
        ticks = int(end / cfg.TICK_SECONDS)
        for tick in range(1, ticks):
            self._at(tick * cfg.TICK_SECONDS, self._tick)
        if self.moves:
            for step in range(1, int(end / cfg.PLAN_SECONDS)):
                self._at(step * cfg.PLAN_SECONDS, self._move_shares)
        while self._queue:
            now, _, action, args = heapq.heappop(self._queue)
            action(now, *args)
        return self.outcome

    def _order(self, host, joins_zones):
        own = host % self.scenario.n_zones
        others = [z for i, z in enumerate(self.zones) if i != own]
        if not joins_zones:
            return (self.zones[own],)
        return (self.zones[own], *others)

    def _at(self, at, action, *args):
        heapq.heappush(self._queue, (at, next(self._order_of), action, args))

    def _arrive(self, now, index, arrival):
        entry = self.entries[arrival.host]
        answer = entry.admit(now, self.customers[arrival.customer])
        self._go_on(now, index, arrival, answer)

    def _go_on(self, now, index, arrival, answer):
        match answer:
            case RateAdmitted():
                self.outcome.admit(index, now, arrival.customer)
                self.outcome.waited_seconds += now - arrival.at
            case DrawOrder():
                self.outcome.n_messages += 1
                trip = self._trip(arrival.host, answer.zone)
                self._at(now + trip, self._draw, index, arrival, answer)
            case _:
                self.outcome.waited_seconds += now - arrival.at

    def _draw(self, now, index, arrival, order):
        share = self._share(order.customer, order.zone)
        if share is None or not self._reaches(arrival.host, order.zone):
            answer = DrawFailed()
        else:
            answer = share.draw(
                now,
                f"h{arrival.host}",
                order.wanted,
                FOREVER,
                draw_id=order.draw_id,
                zone=order.zone if self._is_own(arrival.host, order.zone) else "",
                partial=order.partial,
                spend_seconds=order.spend_seconds,
                returned=order.returned,
            )
            self._pull(now, order.customer, order.zone, share)
        later = now + self._trip(arrival.host, order.zone)
        self._at(later, self._answer, index, arrival, order.draw_id, answer)

    def _pull(self, now, name, zone, share):
        if not self.levels_out:
            return
        others = tuple(z for z in self.zones if z != zone)
        for pull in share.next_pulls(now, f"holder-{zone}", others):
            self.outcome.n_messages += 1
            at = now + cfg.OTHER_ZONE_TRIP
            self._at(at, self._yield, name, zone, pull)

    def _yield(self, now, name, zone, pull):
        share = self._share(name, pull.zone)
        cut = self.is_cut and "z0" in (zone, pull.zone)
        if share is None or cut:
            return
        holder = f"holder-{zone}"
        answer = share.answer_pull(now, holder, pull, FOREVER, zone=zone)
        at = now + cfg.OTHER_ZONE_TRIP
        self._at(at, self._settle_pull, name, zone, pull.draw_id, answer)

    def _settle_pull(self, now, name, zone, draw_id, answer):
        share = self._share(name, zone)
        if share is not None:
            share.settle_pull(now, draw_id, answer)

    def _answer(self, now, index, arrival, draw_id, answer):
        entry = self.entries[arrival.host]
        self._go_on(now, index, arrival, entry.settle(now, draw_id, answer))

    def _tick(self, now):
        for host in range(len(self.entries)):
            self._send_returns(now, host)

    def _send_returns(self, now, host):
        for order in self.entries[host].due_returns(now):
            self.outcome.n_messages += 1
            if self._reaches(host, order.zone):
                trip = self._trip(host, order.zone)
                self._at(now + trip, self._give_back, host, order)

    def _give_back(self, now, host, order):
        share = self._share(order.customer, order.zone)
        if share is not None:
            share.return_batch(now, f"h{host}", order.batch)

    def _trip(self, host, zone):
        own = self._is_own(host, zone)
        trip = cfg.OWN_ZONE_TRIP if own else cfg.OTHER_ZONE_TRIP
        if self._rng.random() < cfg.SLOW_SHARE:
            return cfg.SLOW_TRIP
        return trip * (0.5 + self._rng.expovariate(2.0))

    def _is_own(self, host, zone):
        return self.zones[host % self.scenario.n_zones] == zone

    def _reaches(self, host, zone):
        own = self.zones[host % self.scenario.n_zones]
        return own == zone or not (self.is_cut and "z0" in (own, zone))

    def _plan_event(self, event):
        match event:
            case Edit(at, customer):
                for i, zone in enumerate(self.zones):
                    delay = i * cfg.EDIT_DELAY_SECONDS
                    self._at(at + delay, self._edit, zone, customer)
            case Cut(at, until):
                self._at(at, self._set_cut, True)
                self._at(until, self._set_cut, False)
            case HolderLoss(at, True):
                self._at(at, self._hand_over)
            case HolderLoss(at, False):
                self._at(at, self._kill)

    def _keeper(self, name, zone, now, unserved_since):
        row, version = self.rows[name]
        customer = self.known[(name, zone)]
        zones = tuple(self.zones)
        return ZoneShareManager.from_row(
            zone, zones, customer, row, version, now, unserved_since
        )

    def _share(self, name, zone):
        keeper = self.keepers[(name, zone)]
        return None if keeper is None else keeper.share

    def _edit(self, now, zone, customer):
        self.customers[customer.name] = customer
        self.known[(customer.name, zone)] = customer
        keeper = self.keepers[(customer.name, zone)]
        if keeper is not None:
            keeper.set_customer(now, customer)

    def _set_cut(self, now, is_cut):
        self.is_cut = is_cut

    def _lost_customers(self):
        """Return those whose slot is at one host of zone 0, that of the largest."""
        hosts = [f"h{i}" for i in range(0, self.scenario.n_hosts, len(self.zones))]
        holder = {
            name: preferred_host(slot_of(SlotKind.CUSTOMER, name, N_SLOTS), hosts)
            for name in self.customers
        }
        largest = max(self.customers.values(), key=lambda c: (c.burst, c.name))
        return [n for n, host in holder.items() if host == holder[largest.name]]

    def _hand_over(self, now):
        for name in self._lost_customers():
            state = self._share(name, "z0").hand_over(now)
            self.keepers[(name, "z0")] = None
            later = now + cfg.HANDOVER_SECONDS
            self._at(later, self._take_over, name, state)

    def _kill(self, now):
        for name in self._lost_customers():
            self.keepers[(name, "z0")] = None
            lapse = now + cfg.LEASE_SECONDS
            later = lapse + cfg.TAKEOVER_SECONDS
            self._at(later, self._start_anew, name, lapse)

    def _take_over(self, now, name, state):
        keeper = self._keeper(name, "z0", now, None)
        fraction = keeper.row.fraction("z0")
        customer = keeper.customer
        keeper.share = CustomerShare.from_handover(customer, fraction, state, now)
        self.keepers[(name, "z0")] = keeper

    def _start_anew(self, now, name, lapse):
        self.keepers[(name, "z0")] = self._keeper(name, "z0", now, lapse)

    def _move_shares(self, now):
        for name, zone in self.keepers:
            self._move(now, name, zone)

    def _move(self, now, name, zone):
        keeper = self.keepers[(name, zone)]
        if keeper is None or (self.is_cut and zone == "z0"):
            return
        keeper.apply_row(now, *self.rows[name])
        row = keeper.next_write(now)
        if row is None:
            return
        self.outcome.n_moves += 1
        self.rows[name] = (row, keeper.version + 1)
        keeper.apply_row(now, *self.rows[name])
        for other in row.offers:
            self._at(now + cfg.OFFER_SECONDS, self._move, name, other)
