"""Control traffic of an idle fleet, against the number of hosts."""

from swifttide_standins.capacity._fit import fit_line
from swifttide_standins.capacity._site import Site
from swifttide_standins.capacity._slope import Slope
from swifttide_standins.capacity._usage import Usage, idle_usage

HOST_COUNTS = (4, 8, 16, 32)
"""From 4 on: a host watches two neighbours, and two hosts have only one each, which
would pass for a cost that grows with the zone."""

SAMPLE_SECONDS = 12.0
RENEWALS = (0.5, 2.0)
"""Two renewal times; the difference in processor time is that of the heartbeats."""


def measure_control() -> list[Slope]:
    """Return processor time, calls, bytes and memory of a host without callers."""
    found = [(n, *_measure(n)) for n in HOST_COUNTS]
    cpu = [(n, usage.cpu_seconds / usage.at / n) for n, usage, _ in found]
    reads = [(n, usage.reads / usage.at / n) for n, usage, _ in found]
    writes = [(n, usage.writes / usage.at / n) for n, usage, _ in found]
    n_bytes = [(n, usage.n_bytes / usage.at / n) for n, usage, _ in found]
    all_bytes = [(n, usage.all_bytes / usage.at / n) for n, usage, _ in found]
    memory = [(n, resident) for n, _, resident in found]
    return [
        *_line("processor of an idle host", cpu, "core"),
        *_line("platform reads of an idle host", reads, "1/s"),
        *_line("platform writes of an idle host", writes, "1/s"),
        *_line("platform bytes of an idle host", n_bytes, "B/s"),
        *_line("bytes on all connections of an idle host", all_bytes, "B/s"),
        *_line("resident memory of an idle host", memory, "B"),
        _heartbeat(),
    ]


def _measure(n_hosts: int, **plan: object) -> tuple[Usage, float]:
    with Site.started(n_hosts, **plan) as site:
        return idle_usage(site, SAMPLE_SECONDS), site.resident_bytes()


def _line(name: str, samples: list[tuple[float, float]], unit: str) -> list[Slope]:
    slope, intercept = fit_line(samples)
    return [
        Slope(f"{name}, base", intercept, unit, tuple(samples)),
        Slope(f"{name}, for each further host of the zone", slope, unit),
    ]


def _heartbeat() -> Slope:
    samples = []
    for renew_seconds in RENEWALS:
        usage, _ = _measure(4, renew_seconds=renew_seconds)
        samples.append((1 / renew_seconds, usage.cpu_seconds / usage.at / 4))
    slope, _ = fit_line(samples)
    return Slope(
        "processor for a renewal of the lease and its looks",
        slope,
        "core s",
        tuple(samples),
    )
