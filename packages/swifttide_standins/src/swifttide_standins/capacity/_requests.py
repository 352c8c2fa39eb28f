"""Processor time and platform calls of requests and tokens."""

from collections.abc import Callable

from swifttide_standins.capacity._site import CALLER, DURABLE, Site, turn
from swifttide_standins.capacity._slope import Slope
from swifttide_standins.capacity._usage import Usage, idle_usage
from swifttide_standins.loadgen import CallSpec

IDLE_SECONDS = 5.0
N_REQUESTS = 240
N_STREAMS = 24
N_WORKERS = 4
WORDS = 800


def measure_requests() -> list[Slope]:
    """Return what a request and a token cost, at one host and through a peer."""
    return [*_measure_site(1, "at the holder"), *_measure_site(4, "of 4 hosts")]


def _measure_site(n_hosts: int, where: str) -> list[Slope]:
    with Site.started(n_hosts) as site:
        idle = idle_usage(site, IDLE_SECONDS)
        slopes = []
        for name, profile, make in (
            ("a repeatable service call", CALLER, _service("look")),
            ("a non-repeatable service call", CALLER, _service("charge")),
            ("a first chat turn, caller's history", CALLER, _turns("c", 1)),
            ("a further chat turn, caller's history", CALLER, _turns("c", 2)),
            ("a first chat turn, durable history", DURABLE, _turns("d", 1)),
            ("a further chat turn, durable history", DURABLE, _turns("d", 2)),
        ):
            used = _run(site, profile, make, N_REQUESTS).without(idle)
            slopes += _per_request(f"{name}, {where}", used)
        slopes.append(_per_token(site, idle, where))
    return slopes


def _per_request(name: str, used: Usage) -> list[Slope]:
    return [
        Slope(f"processor for {name}", used.cpu_seconds / N_REQUESTS, "core s"),
        Slope(f"platform reads for {name}", used.reads / N_REQUESTS, "1"),
        Slope(f"platform writes for {name}", used.writes / N_REQUESTS, "1"),
        Slope(f"platform bytes for {name}", used.n_bytes / N_REQUESTS, "B"),
    ]


def _per_token(site: Site, idle: Usage, where: str) -> Slope:
    short = _run(site, CALLER, _turn("s", 1), N_STREAMS).without(idle)
    long = _run(site, CALLER, _turn("l", WORDS), N_STREAMS).without(idle)
    tokens = N_STREAMS * (WORDS - 1)
    value = (long.cpu_seconds - short.cpu_seconds) / tokens
    return Slope(f"processor for a streamed token, {where}", value, "core s")


def _run(
    site: Site, profile: str, make: Callable[[int], CallSpec], n_calls: int
) -> Usage:
    """Send calls, a few at a time, and return what the site spent."""
    start = Usage.now(site)
    site.send(profile, map(make, range(n_calls)), N_WORKERS)
    return Usage.now(site).since(start)


def _service(path: str) -> Callable[[int], CallSpec]:
    def make(number: int) -> CallSpec:
        key = f"{path}-{number}"
        return CallSpec.from_service(f"program-{key}", "billing", path, key)

    return make


def _turns(name: str, number_of_turn: int) -> Callable[[int], CallSpec]:
    """Return the maker of one turn of `N_REQUESTS` programs."""

    def make(number: int) -> CallSpec:
        program = f"{name}-{number}"
        return CallSpec.from_turn(program, "", number_of_turn, "go on", 1)

    return make


def _turn(name: str, words: int) -> Callable[[int], CallSpec]:
    return lambda number: turn(f"{name}-{number}", words)
