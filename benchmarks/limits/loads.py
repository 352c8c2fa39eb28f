"""Loads: the scenarios of the table, drawn from fixed seeds."""

import random

from benchmarks.limits.scenario import Arrival, Cut, Edit, HolderLoss, Scenario
from swifttide_core.documents import Customer

SECONDS = 60.0
FLEETS = {4: 2, 10: 3, 380: 5}
"""Zones by number of hosts: the demo, today's sites, the size to design for."""

LARGE = tuple(
    Customer(f"large{i}", rate, 2.0 * rate)
    for i, rate in enumerate((5.0, 10.0, 20.0, 40.0, 5.0, 10.0, 20.0, 40.0))
)
"""Eight customers, a few of them large, as at both sites."""

SMALL = tuple(Customer(f"small{i}", 0.2, 4.0) for i in range(150))
"""Far below one request per host and second."""


def all_scenarios(n_hosts: int) -> list[Scenario]:
    """Return the scenarios for a fleet."""
    makers = (
        _steady,
        _bursty,
        _hot,
        _skewed,
        _shifting,
        _small,
        _cut,
        _small_cut,
        _skewed_cut,
        _killed,
        _cut_and_killed,
        _planned,
        _edits,
    )
    return [make(n_hosts, FLEETS[n_hosts]) for make in makers]


def _poisson(rng, customer, rate, start, end, pick_host):
    at = start
    while True:
        at += rng.expovariate(rate)
        if at >= end:
            return
        yield Arrival(at, customer.name, pick_host(rng))


def _anywhere(n_hosts):
    return lambda rng: rng.randrange(n_hosts)


def _mostly(zone, share, n_hosts, n_zones):
    in_zone = range(zone, n_hosts, n_zones)

    def pick(rng):
        if rng.random() < share:
            return rng.choice(in_zone)
        return rng.randrange(n_hosts)

    return pick


def _scenario(name, n_hosts, n_zones, customers, arrivals, events=()):
    timed = tuple(sorted(events, key=lambda event: event.at))
    ordered = tuple(sorted(arrivals, key=lambda a: (a.at, a.customer, a.host)))
    return Scenario(name, n_hosts, n_zones, customers, ordered, timed)


def _uniform(n_hosts, load, customers=LARGE):
    rng = random.Random(1)
    pick = _anywhere(n_hosts)
    arrivals = []
    for customer in customers:
        rate = load * customer.rate_per_second
        arrivals += _poisson(rng, customer, rate, 0.0, SECONDS, pick)
    return arrivals


def _steady(n_hosts, n_zones):
    arrivals = _uniform(n_hosts, 0.9)
    return _scenario("steady 0.9", n_hosts, n_zones, LARGE, arrivals)


def _bursty(n_hosts, n_zones):
    """Half of the rate, and every 10 s the whole burst within 0.1 s."""
    rng = random.Random(2)
    pick = _anywhere(n_hosts)
    arrivals = _uniform(n_hosts, 0.5)
    for customer in LARGE:
        for at in range(5, int(SECONDS), 10):
            for _ in range(int(customer.burst)):
                spread = at + rng.uniform(0.0, 0.1)
                arrivals.append(Arrival(spread, customer.name, pick(rng)))
    return _scenario("bursty", n_hosts, n_zones, LARGE, arrivals)


def _hot(n_hosts, n_zones):
    rng = random.Random(3)
    arrivals = _uniform(n_hosts, 0.8, LARGE[1:])
    rate = 5.0 * LARGE[0].rate_per_second
    pick = _anywhere(n_hosts)
    arrivals += _poisson(rng, LARGE[0], rate, 0.0, SECONDS, pick)
    rate = 5.0 * LARGE[3].rate_per_second
    arrivals += _poisson(rng, LARGE[3], rate, 0.0, SECONDS, pick)
    return _scenario("one hot 5x", n_hosts, n_zones, LARGE, arrivals)


def _skewed(n_hosts, n_zones):
    rng = random.Random(4)
    arrivals = []
    for i, customer in enumerate(LARGE):
        pick = _mostly(i % n_zones, 0.9, n_hosts, n_zones)
        rate = 0.9 * customer.rate_per_second
        arrivals += _poisson(rng, customer, rate, 0.0, SECONDS, pick)
    return _scenario("skewed zones", n_hosts, n_zones, LARGE, arrivals)


def _shifting(n_hosts, n_zones):
    rng = random.Random(5)
    arrivals = []
    for i, customer in enumerate(LARGE):
        rate = 0.9 * customer.rate_per_second
        for part in range(3):
            zone = (i + part) % n_zones
            pick = _mostly(zone, 1.0, n_hosts, n_zones)
            start = part * SECONDS / 3
            arrivals += _poisson(rng, customer, rate, start, start + 20.0, pick)
    return _scenario("shifting zones", n_hosts, n_zones, LARGE, arrivals)


def _small(n_hosts, n_zones):
    arrivals = _uniform(n_hosts, 0.9, SMALL)
    return _scenario("small 0.2/s", n_hosts, n_zones, SMALL, arrivals)


def _cut(n_hosts, n_zones):
    arrivals = _uniform(n_hosts, 0.7)
    events = [Cut(20.0, 40.0)]
    return _scenario("cut 20 s", n_hosts, n_zones, LARGE, arrivals, events)


def _small_cut(n_hosts, n_zones):
    arrivals = _uniform(n_hosts, 0.7, SMALL)
    events = [Cut(20.0, 40.0)]
    return _scenario("small, cut 20 s", n_hosts, n_zones, SMALL, arrivals, events)


def _skewed_cut(n_hosts, n_zones):
    """All traffic of the customers is in zone 0, which is cut off for 20 s."""
    rng = random.Random(7)
    pick = _mostly(0, 1.0, n_hosts, n_zones)
    arrivals = []
    for customer in LARGE:
        rate = 0.7 * customer.rate_per_second
        arrivals += _poisson(rng, customer, rate, 0.0, SECONDS, pick)
    events = [Cut(40.0, 60.0)]
    return _scenario("skewed, cut 20 s", n_hosts, n_zones, LARGE, arrivals, events)


def _killed(n_hosts, n_zones):
    arrivals = _uniform(n_hosts, 0.7)
    events = [HolderLoss(20.0, False)]
    return _scenario("holder killed", n_hosts, n_zones, LARGE, arrivals, events)


def _cut_and_killed(n_hosts, n_zones):
    """Kill a holder in the zone that is cut off."""
    arrivals = _uniform(n_hosts, 0.7)
    events = [Cut(20.0, 40.0), HolderLoss(25.0, False)]
    return _scenario("cut and killed", n_hosts, n_zones, LARGE, arrivals, events)


def _planned(n_hosts, n_zones):
    arrivals = _uniform(n_hosts, 0.7)
    events = [HolderLoss(20.0, True)]
    return _scenario("holder replaced", n_hosts, n_zones, LARGE, arrivals, events)


def _edits(n_hosts, n_zones):
    """Halve at 20 s, quadruple at 40 s; callers follow with 0.8 of the new rate."""
    rng = random.Random(6)
    pick = _anywhere(n_hosts)
    arrivals = []
    events = []
    for customer in LARGE:
        rates = [customer.rate_per_second * factor for factor in (1.0, 0.5, 2.0)]
        for part, rate in enumerate(rates):
            start = part * SECONDS / 3
            args = (0.8 * rate, start, start + 20.0, pick)
            arrivals += _poisson(rng, customer, *args)
            if part > 0:
                edited = Customer(customer.name, rate, 2.0 * rate)
                events.append(Edit(start, edited))
    return _scenario("edits", n_hosts, n_zones, LARGE, arrivals, events)
