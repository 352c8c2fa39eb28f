"""Baselines: static split per host, central bucket per request, no limit."""

from benchmarks.limits.outcome import Outcome
from benchmarks.limits.scenario import Cut, Edit, HolderLoss, Scenario
from benchmarks.limits.settings import LEASE_SECONDS, OTHER_ZONE_TRIP, TAKEOVER_SECONDS
from swifttide_core.limits import TokenBucket


def no_limit(scenario: Scenario) -> Outcome:
    """Admit everything."""
    outcome = Outcome([False] * len(scenario.arrivals))
    for index, arrival in enumerate(scenario.arrivals):
        outcome.admit(index, arrival.at, arrival.customer)
    return outcome


def static_split(scenario: Scenario) -> Outcome:
    """Give each host an equal part of rate and burst."""
    n_hosts = scenario.n_hosts
    buckets = {
        (c.name, host): TokenBucket.full(
            c.rate_per_second / n_hosts, c.burst / n_hosts, 0.0
        )
        for c in scenario.customers
        for host in range(n_hosts)
    }
    outcome = Outcome([False] * len(scenario.arrivals))
    edits = [event for event in scenario.events if isinstance(event, Edit)]
    for index, arrival in enumerate(scenario.arrivals):
        while edits and edits[0].at <= arrival.at:
            _split_anew(buckets, edits.pop(0), n_hosts)
        if buckets[(arrival.customer, arrival.host)].take(arrival.at):
            outcome.admit(index, arrival.at, arrival.customer)
    return outcome


def central(scenario: Scenario) -> Outcome:
    """Ask one bucket, in zone 1, with each request; refuse when it isn't reached."""
    buckets = {
        c.name: TokenBucket.full(c.rate_per_second, c.burst, 0.0)
        for c in scenario.customers
    }
    outcome = Outcome([False] * len(scenario.arrivals))
    events = list(scenario.events)
    cuts = [event for event in events if isinstance(event, Cut)]
    down = _downtimes(events)
    edits = [event for event in events if isinstance(event, Edit)]
    emptied = set()
    for index, arrival in enumerate(scenario.arrivals):
        at = arrival.at + OTHER_ZONE_TRIP
        while edits and edits[0].at <= at:
            _set_limits(buckets, edits.pop(0))
        outcome.n_messages += 1
        outcome.waited_seconds += 2 * OTHER_ZONE_TRIP
        cut_off = arrival.host % scenario.n_zones == 0 and any(
            cut.at <= at < cut.until for cut in cuts
        )
        if cut_off or any(start <= at < end for start, end in down):
            continue
        for start, end in down:
            # A new holder knows nothing of the past and starts empty.
            if at >= end and (arrival.customer, start) not in emptied:
                emptied.add((arrival.customer, start))
                rate, burst = (
                    buckets[arrival.customer].rate,
                    buckets[arrival.customer].burst,
                )
                buckets[arrival.customer] = TokenBucket.empty(rate, burst, end)
        if buckets[arrival.customer].take(at):
            outcome.admit(index, at, arrival.customer)
    return outcome


def _downtimes(events):
    spans = []
    for event in events:
        match event:
            case HolderLoss(at, False):
                spans.append((at, at + LEASE_SECONDS + TAKEOVER_SECONDS))
    return spans


def _split_anew(buckets, edit, n_hosts):
    for host in range(n_hosts):
        bucket = buckets[(edit.customer.name, host)]
        bucket.refill(edit.at)
        bucket.rate = edit.customer.rate_per_second / n_hosts
        bucket.burst = edit.customer.burst / n_hosts
        bucket.level = min(bucket.level, bucket.burst)


def _set_limits(buckets, edit):
    bucket = buckets[edit.customer.name]
    bucket.refill(edit.at)
    bucket.rate = edit.customer.rate_per_second
    bucket.burst = edit.customer.burst
    bucket.level = min(bucket.level, bucket.burst)
