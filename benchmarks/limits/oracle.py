"""Rate and burst over every window, and the single bucket to compare with."""

from benchmarks.limits.scenario import Edit, Scenario

SETTLE_SECONDS = 5.0
"""After an edit, time in which old and new limits may both be in use: it reaches
the last zone after at most 2 s, and a batch lives for 2 s."""


def limits_of(scenario: Scenario, name: str) -> list[tuple[float, float, float]]:
    """Return (from, rate, burst) of a customer, in order of time."""
    limits = [
        (0.0, c.rate_per_second, c.burst) for c in scenario.customers if c.name == name
    ]
    for event in scenario.events:
        match event:
            case Edit(at, customer) if customer.name == name:
                limits.append((at, customer.rate_per_second, customer.burst))
    return limits


def largest_excess(times: list[float], limits) -> float:
    """Return by how much the worst window exceeds ``rate * window + burst``.

    Windows inside one setting of the limits are held to that setting, from
    ``SETTLE_SECONDS`` after the edit; windows across edits to the largest rate and
    burst that they touch.
    """
    worst = float("-inf")
    for first in range(len(limits)):
        start = limits[first][0] + (SETTLE_SECONDS if first else 0.0)
        for last in range(first, len(limits)):
            end = limits[last + 1][0] if last + 1 < len(limits) else float("inf")
            touched = limits[first : last + 1]
            rate = max(limit[1] for limit in touched)
            burst = max(limit[2] for limit in touched)
            inside = [t for t in times if start <= t < end]
            worst = max(worst, _excess(inside, rate, burst))
    return worst


def _excess(times, rate, burst):
    """Largest count - rate * length - burst over all windows: a running maximum."""
    worst = -burst
    pressure = 0.0
    before = None
    for at in sorted(times):
        if before is not None:
            pressure = max(0.0, pressure - rate * (at - before))
        pressure += 1.0
        before = at
        worst = max(worst, pressure - burst)
    return worst


def ideal(scenario: Scenario) -> list[bool]:
    """Return what one bucket per customer, asked without delay, admits."""
    buckets = {c.name: [c.burst, 0.0] for c in scenario.customers}
    limits = {c.name: limits_of(scenario, c.name) for c in scenario.customers}
    admitted = []
    for arrival in scenario.arrivals:
        bucket = buckets[arrival.customer]
        _refill(bucket, arrival.at, limits[arrival.customer])
        whole = bucket[0] + 1e-9 >= 1.0
        bucket[0] -= 1.0 if whole else 0.0
        admitted.append(whole)
    return admitted


def refused_inside(scenario: Scenario, admitted: list[bool]) -> int:
    """Count the refusals while one bucket that admitted the same had a token left.

    Of a customer that sends too much, which of its requests get the tokens is chance;
    this counts only tokens that lay somewhere and were not found.
    """
    buckets = {c.name: [c.burst, 0.0] for c in scenario.customers}
    limits = {c.name: limits_of(scenario, c.name) for c in scenario.customers}
    n_inside = 0
    for arrival, taken in zip(scenario.arrivals, admitted, strict=True):
        bucket = buckets[arrival.customer]
        _refill(bucket, arrival.at, limits[arrival.customer])
        n_inside += not taken and bucket[0] + 1e-9 >= 1.0
        bucket[0] -= 1.0 if taken else 0.0
    return n_inside


def _refill(bucket, now, limits):
    """Refill across the edits that lie between the last call and now."""
    for index, (start, rate, burst) in enumerate(limits):
        end = limits[index + 1][0] if index + 1 < len(limits) else float("inf")
        span = min(now, end) - max(bucket[1], start)
        if span > 0.0:
            bucket[0] = min(burst, bucket[0] + rate * span)
            bucket[1] = min(now, end)
