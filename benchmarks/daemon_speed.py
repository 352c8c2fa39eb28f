"""Requests a second and added time per hop of real daemons on loopback.

``python -m benchmarks.daemon_speed`` prints a table. One zone with two hosts; a call
entered at the host that holds its slot takes no hop between hosts, one entered at
the other host takes one. The time of the service itself is measured by calling it
directly. Figures depend on the machine; docs/measurements.md names it.
"""

import json
import statistics
import sys
import threading
import time
import uuid
from pathlib import Path

import urllib3

from swifttide_standins.launcher import Fleet, FleetPlan, Launcher, hash_key

KEY = "speed-test-key"
CUSTOMER = "print-office"
N_SEQUENTIAL = 300
N_THREADS = 16
SECONDS = 6.0
PATH = "/v1/services/billing/stock"
CHARGE = "/v1/services/billing/charge"


def main() -> int:
    """Measure, print a table and write ``out/daemon_speed.json``."""
    with Launcher() as launcher:
        plan = FleetPlan(zones=("za",), hosts_per_zone=2, engines_per_zone=1)
        fleet = Fleet.start(launcher, plan)
        _put_documents(fleet)
        report = _measure(fleet)
    for name, value in report.items():
        print(f"{name:<46} {value:>10.2f}")
    out = Path("out")
    out.mkdir(exist_ok=True)
    (out / "daemon_speed.json").write_text(json.dumps(report, indent=1))
    return 0


def _put_documents(fleet: Fleet) -> None:
    customer = {"name": CUSTOMER, "rate_per_second": 1e5, "burst": 1e5}
    fleet.operator.put("customer", CUSTOMER, customer)
    key = {"key_hash": hash_key(KEY), "customer": CUSTOMER}
    fleet.operator.put("key", hash_key(KEY), key)
    profile = {
        "name": "desk",
        "never_repeat": ["billing/charge"],
        "max_turn_tokens": 16,
        "budget_tokens": 10_000_000,
        "max_turns": 100_000,
    }
    fleet.operator.put("profile", "desk", profile)
    time.sleep(3.0)


def _measure(fleet: Fleet) -> dict[str, float]:
    pool = urllib3.PoolManager(maxsize=N_THREADS, retries=False)
    service = fleet.services["billing"].url
    hosts = [member.url for member in fleet.hosts.values()]
    report = {}
    direct = _latencies(pool, f"{service}/stock", {}, N_SEQUENTIAL)
    report["service called directly, ms p50"] = statistics.median(direct)
    by_host = [_by_hop(pool, url, f"hop-{i}") for i, url in enumerate(hosts)]
    near = min(statistics.median(found) for found in by_host)
    report["through its holder, ms p50"] = near
    report["through another host, ms p50"] = _other_host(pool, hosts)
    journaled = _latencies(pool, hosts[0] + "/v1/services/billing/charge", _keys, 100)
    report["journaled call, ms p50"] = statistics.median(journaled)
    report["calls a second, 16 callers, one host"] = _rate(hosts[:1], N_THREADS)
    report["calls a second, 16 callers, two hosts"] = _rate(hosts, N_THREADS)
    for n_callers in (1, 8, 32):
        before = _writes(fleet)
        rate = _rate(hosts[:1], n_callers, CHARGE)
        writes = (_writes(fleet) - before) / (rate * SECONDS)
        report[f"journaled calls a second, {n_callers} callers"] = rate
        report[f"platform writes a journaled call, {n_callers} callers"] = writes
    return report


def _writes(fleet: Fleet) -> int:
    return fleet.counters(fleet.platform)["writes"]


def _by_hop(pool, url: str, program: str) -> list[float]:
    headers = {**_headers(), "Swifttide-Program": program}
    return _latencies(pool, url + PATH, headers, N_SEQUENTIAL)


def _other_host(pool, hosts: list[str]) -> float:
    """Return the larger median of one program's calls through both hosts."""
    medians = []
    for url in hosts:
        headers = {**_headers(), "Swifttide-Program": "hop-fixed"}
        found = _latencies(pool, url + PATH, headers, N_SEQUENTIAL)
        medians.append(statistics.median(found))
    return max(medians)


def _keys(number: int) -> dict[str, str]:
    return {**_headers(), "Idempotency-Key": f"speed-{number}"}


def _headers() -> dict[str, str]:
    return {"Authorization": f"Bearer {KEY}", "Swifttide-Profile": "desk"}


def _latencies(pool, url: str, headers, n: int) -> list[float]:
    found = []
    for number in range(n):
        sent = headers(number) if callable(headers) else headers
        start = time.perf_counter()
        answer = pool.request("POST", url, body=b"{}", headers=sent)
        found.append((time.perf_counter() - start) * 1000.0)
        if answer.status != 200:
            raise RuntimeError(f"{url}: {answer.status} {answer.data!r}")
    return found


def _rate(urls: list[str], n_callers: int, path: str = PATH) -> float:
    """Return the calls answered a second, all with keys of their own."""
    counts = [0] * n_callers
    ends_at = time.monotonic() + SECONDS

    def call(index: int) -> None:
        pool = urllib3.PoolManager(retries=False)
        url = urls[index % len(urls)] + path
        while time.monotonic() < ends_at:
            headers = {**_headers(), "Idempotency-Key": uuid.uuid4().hex}
            answer = pool.request("POST", url, body=b"{}", headers=headers)
            counts[index] += answer.status == 200

    threads = [threading.Thread(target=call, args=(i,)) for i in range(n_callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts) / SECONDS


if __name__ == "__main__":
    sys.exit(main())
