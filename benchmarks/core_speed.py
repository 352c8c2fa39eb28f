"""Time of one admission, one choice of a target and one pop (``make bench-core``)."""

import random
import time
from collections.abc import Callable

from swifttide_core.admission import (
    AdmissionConfig,
    Admitted,
    FairQueue,
    Outcome,
    TargetQueue,
    Ticket,
)
from swifttide_core.routing import (
    CachedPrefix,
    Router,
    RouteRequest,
    RoutingConfig,
    TargetView,
)

N_TARGETS = (10, 100, 600)
N_CUSTOMERS = (8, 800, 7_900)
N_MODELS = 28
N_ZONES = 5
REPEATS = 5
N_CALLS = 4_000


def main() -> None:
    """Print the table."""
    print(f"{'decision':34} {'size':>22} {'us each':>9}")
    for n_targets in N_TARGETS:
        _print("choose a target", f"{n_targets} targets", _time_choose(n_targets))
        _print("index new views", f"{n_targets} targets", _time_index(n_targets))
    for n_customers in N_CUSTOMERS:
        for n_queued in (n_customers, 10 * n_customers):
            size = f"{n_customers} cust, {n_queued} q"
            _print("pop and push", size, _time_pop(n_customers, n_queued))
            _print("release, admit, offer", size, _time_admit(n_customers, n_queued))


def _print(name: str, size: str, seconds: float) -> None:
    print(f"{name:34} {size:>22} {seconds * 1e6:9.1f}")


def _best(run: Callable[[], None], n_calls: int) -> float:
    times = []
    for _ in range(REPEATS):
        begin = time.perf_counter()
        run()
        times.append(time.perf_counter() - begin)
    return min(times) / n_calls


def _make_views(n_targets: int) -> tuple[TargetView, ...]:
    n_models = min(N_MODELS, n_targets // 5)
    return tuple(
        TargetView(
            name=f"t{i}",
            zone=f"z{i % N_ZONES}",
            serves=(f"m{i // N_ZONES % n_models}",),
            running=i % 7,
            drain_per_second=4.0,
        )
        for i in range(n_targets)
    )


def _time_choose(n_targets: int) -> float:
    views = _make_views(n_targets)
    router = Router.from_config(RoutingConfig(), random.Random(1))
    requests = [
        RouteRequest(
            views[i % n_targets].serves[0],
            f"z{i % N_ZONES}",
            8_000,
            (CachedPrefix(f"t{i % n_targets}", 7_000),),
        )
        for i in range(N_CALLS)
    ]

    def run() -> None:
        for req in requests:
            choice = router.choose(0.0, req, views)
            router.dispatched(0.0, choice.target)
            router.finished(0.0, choice.target)

    return _best(run, N_CALLS)


def _time_index(n_targets: int) -> float:
    router = Router.from_config(RoutingConfig(), random.Random(1))
    req = RouteRequest("m0", "z0")

    def run() -> None:
        for _ in range(20):
            router.choose(0.0, req, _make_views(n_targets))

    return _best(run, 20)


def _make_ticket(number: int, n_customers: int) -> Ticket:
    return Ticket(
        f"r{number}",
        f"c{number % n_customers}",
        f"p{number}",
        deadline_at=1e9,
        expected_tokens=100.0 + number % 13,
        attained_tokens=1.0,
        context_tokens=3_000.0,
    )


def _time_pop(n_customers: int, n_queued: int) -> float:
    queue = FairQueue()
    for number in range(n_queued):
        queue.push(_make_ticket(number, n_customers), float(number))

    def run() -> None:
        for _ in range(N_CALLS):
            ticket = queue.pop()
            queue.finish(ticket, 100.0)
            queue.push(ticket, 1e6)

    return _best(run, N_CALLS)


def _time_admit(n_customers: int, n_queued: int) -> float:
    cfg = AdmissionConfig(max_wait_seconds=1e9)
    queue = TargetQueue.from_config(cfg, 16)
    running = []
    for number in range(n_queued):
        answer = queue.offer(0.0, _make_ticket(number, n_customers))
        if isinstance(answer, Admitted):
            running.append(answer.ticket_id)
    numbers = iter(range(n_queued, n_queued + REPEATS * N_CALLS))

    def run() -> None:
        for _ in range(N_CALLS):
            number = next(numbers)
            decisions = queue.release(1.0, running.pop(), Outcome(tokens=100.0))
            running.extend(d.ticket_id for d in decisions)
            answer = queue.offer(1.0, _make_ticket(number, n_customers))
            if isinstance(answer, Admitted):
                running.append(answer.ticket_id)

    return _best(run, N_CALLS)


if __name__ == "__main__":
    main()
