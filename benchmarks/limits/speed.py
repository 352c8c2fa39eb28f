"""Processor time and memory of the decisions on rate and burst.

Run with ``python -m benchmarks.limits.speed``. Unlike the tables its figures differ
from run to run and from machine to machine.
"""

import time
import tracemalloc

from swifttide_core.documents import Customer
from swifttide_core.limits import (
    DrawOrder,
    EntryRateLimiter,
    ZoneShareManager,
    ZoneShares,
)

ZONES = ("a", "b", "c", "d", "e")
N_DECISIONS = 20_000
FOREVER = float("inf")


def _customers(n):
    return [Customer(f"c{i}", 50.0, 100.0) for i in range(n)]


def _keeper(customer):
    row = ZoneShares.from_config(customer, ZONES)
    zone = next(iter(row.zones))
    return ZoneShareManager.from_row(zone, ZONES, customer, row, 1, 0.0, -FOREVER)


def _decide(now, entry, customer, keeper):
    answer = entry.admit(now, customer)
    while isinstance(answer, DrawOrder):
        drawn = keeper.share.draw(
            now, "h", answer.wanted, FOREVER, draw_id=answer.draw_id, zone=answer.zone
        )
        answer = entry.settle(now, answer.draw_id, drawn)


def main() -> None:
    """Print a row for each number of customers."""
    print("customers  us/decision  bytes/customer (holder)  bytes/customer (entry)")
    for n in (8, 800, 7900):
        customers = _customers(n)
        tracemalloc.start()
        keepers = [_keeper(customer) for customer in customers]
        held = tracemalloc.get_traced_memory()[0] / n
        tracemalloc.stop()
        entry = EntryRateLimiter("h", ZONES)
        for customer, keeper in zip(customers, keepers, strict=True):
            _decide(0.0, entry, customer, keeper)
        started = time.perf_counter()
        for i in range(N_DECISIONS):
            _decide(i * 0.001, entry, customers[i % n], keepers[i % n])
        spent = (time.perf_counter() - started) / N_DECISIONS
        tracemalloc.start()
        other = EntryRateLimiter("h", ZONES)
        for customer, keeper in zip(customers, keepers, strict=True):
            _decide(1000.0, other, customer, keeper)
        known = tracemalloc.get_traced_memory()[0] / n
        tracemalloc.stop()
        print(f"{n:>9}  {spent * 1e6:>11.1f}  {held:>23.0f}  {known:>22.0f}")


if __name__ == "__main__":
    main()
