"""What a target costs the host that decides for it, and a scrape of the metrics."""

import time

import urllib3

from swifttide_standins.capacity._fit import fit_line
from swifttide_standins.capacity._site import Site
from swifttide_standins.capacity._slope import Slope
from swifttide_standins.capacity._usage import idle_usage

TARGET_COUNTS = (0, 16, 32)
SETTLE_SECONDS = 3.0
SAMPLE_SECONDS = 10.0
N_SCRAPES = 50


def measure_targets() -> list[Slope]:
    """Return processor time, bytes and memory for a target, and for a scrape."""
    cpu, n_bytes, memory = [], [], []
    known = 0
    with Site.started(1) as site:
        for n_targets in TARGET_COUNTS:
            site.put_targets(range(known, n_targets))
            known = n_targets
            time.sleep(SETTLE_SECONDS)
            usage = idle_usage(site, SAMPLE_SECONDS)
            cpu.append((n_targets, usage.cpu_seconds / usage.at))
            n_bytes.append((n_targets, usage.all_bytes / usage.at))
            memory.append((n_targets, site.resident_bytes()))
        scrapes = _scrapes(site)
    return [
        _slope("processor for a target held", cpu, "core"),
        _slope("bytes on connections for a target held", n_bytes, "B/s"),
        _slope("resident memory for a target held", memory, "B"),
        *scrapes,
    ]


def _slope(name: str, samples: list[tuple[float, float]], unit: str) -> Slope:
    return Slope(name, fit_line(samples)[0], unit, tuple(samples))


def _scrapes(site: Site) -> list[Slope]:
    pool = urllib3.PoolManager(retries=False)
    url = f"{site.endpoints[0].url}/metrics"
    start = site.cpu_seconds()
    sizes = [len(pool.request("GET", url).data) for _ in range(N_SCRAPES)]
    used = site.cpu_seconds() - start
    return [
        Slope("processor for a scrape of the metrics", used / N_SCRAPES, "core s"),
        Slope("bytes of a scrape of the metrics", max(sizes), "B"),
    ]
