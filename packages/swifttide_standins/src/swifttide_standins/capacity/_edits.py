"""Seconds until an edit is in force, and what it costs, against the hosts."""

import threading
import time

import urllib3

from swifttide_standins.capacity._fit import fit_line
from swifttide_standins.capacity._site import CUSTOMER, Site
from swifttide_standins.capacity._slope import Slope
from swifttide_standins.capacity._usage import Usage, idle_usage
from swifttide_standins.loadgen import Endpoint

HOST_COUNTS = (2, 8, 24)
N_EDITS = 4
IDLE_SECONDS = 8.0
PROBE_SECONDS = 0.1
GIVE_UP_SECONDS = 20.0
REFUSED = 401


def measure_edits() -> list[Slope]:
    """Return the seconds to "in force everywhere" and the platform's calls."""
    slowest, reads, writes = [], [], []
    for n_hosts in HOST_COUNTS:
        with Site.started(n_hosts) as site:
            idle = idle_usage(site, IDLE_SECONDS)
            start = Usage.now(site)
            seconds = [_grant_seconds(site, number) for number in range(N_EDITS)]
            used = Usage.now(site).since(start).without(idle)
        slowest.append((n_hosts, max(seconds)))
        reads.append((n_hosts, used.reads / N_EDITS))
        writes.append((n_hosts, used.writes / N_EDITS))
    name = f"slowest of {N_EDITS} edits in force at all hosts"
    return [
        Slope(f"{name}, {slowest[-1][0]} hosts", slowest[-1][1], "s", tuple(slowest)),
        Slope(f"{name}, for each further host", fit_line(slowest)[0], "s"),
        Slope("platform writes for an edit", writes[-1][1], "1", tuple(writes)),
        Slope(
            "platform reads for an edit, for each host",
            fit_line(reads)[0],
            "1",
            tuple(reads),
        ),
    ]


def _grant_seconds(site: Site, number: int) -> float:
    """Grant a key and return the seconds until every host takes it."""
    key = f"new-key-{number}"
    site.grant(key, CUSTOMER)
    granted_at = time.monotonic()
    seen: list[float] = []
    threads = [
        threading.Thread(target=_probe, args=(e, key, granted_at, seen))
        for e in site.endpoints
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return max(seen)


def _probe(endpoint: Endpoint, key: str, since: float, seen: list[float]) -> None:
    pool = urllib3.PoolManager(retries=False)
    headers = {"Authorization": f"Bearer {key}"}
    url = f"{endpoint.url}/v1/programs/none"
    while time.monotonic() - since < GIVE_UP_SECONDS:
        status = pool.request("GET", url, headers=headers, timeout=5.0).status
        if status != REFUSED:
            seen.append(time.monotonic() - since)
            return
        time.sleep(PROBE_SECONDS)
    seen.append(float("inf"))
