"""Processor time and platform calls of requests and tokens."""

from collections.abc import Callable

from swifttide_standins.capacity._site import CALLER, DURABLE, Site, turn
from swifttide_standins.capacity._slope import Slope
from swifttide_standins.capacity._usage import Usage, idle_usage
from swifttide_standins.loadgen import CallSpec

IDLE_SECONDS = 9.0
ROUNDS_SECONDS = 9.0
"""Three rounds of the reconciliation with the engines."""

N_PROGRAMS = 24
N_REQUESTS = 480
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
        for name, path in (("repeatable", "look"), ("non-repeatable", "charge")):
            used = _run(site, CALLER, _service(path), N_REQUESTS).without(idle)
            slopes += _per_request(f"a {name} service call, {where}", used)
        before = idle
        for name, profile in (("caller's", CALLER), ("durable", DURABLE)):
            first, resting, further = _measure_turns(site, profile, before)
            writes = first.writes / N_PROGRAMS
            history = f"{name} history, {where}"
            slopes.append(
                Slope(f"platform writes for a first chat turn, {history}", writes, "1")
            )
            slopes += _per_request(f"a further chat turn, {history}", further)
            slopes.append(_per_cached_program(before, resting, history))
            before = resting
        slopes.append(_per_token(site, before, where))
    return slopes


def _measure_turns(
    site: Site, profile: str, before: Usage
) -> tuple[Usage, Usage, Usage]:
    """Return first turns, the time after them without callers, and further turns.

    Few programs with many turns each: the hosts look up every program that an engine
    has in its cache, which would pass for a cost of the turns if it weren't taken
    off, and taking it off is only as good as a round of these reads is small.
    """
    first = _run(site, profile, _turns(profile, 0), N_PROGRAMS).without(before)
    resting = idle_usage(site, ROUNDS_SECONDS)
    further = _run(site, profile, _turns(profile, 1), N_REQUESTS).without(resting)
    return first, resting, further


def _per_cached_program(before: Usage, resting: Usage, history: str) -> Slope:
    reads = resting.reads / resting.at - before.reads / before.at
    name = f"platform reads of a program in an engine's cache, {history}"
    return Slope(name, reads / N_PROGRAMS, "1/s")


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


def _turns(name: str, n_before: int) -> Callable[[int], CallSpec]:
    """Return the maker of turns that follow `n_before` turns of each program."""

    def make(number: int) -> CallSpec:
        program = f"{name}-{number % N_PROGRAMS}"
        number_of_turn = 1 + n_before + number // N_PROGRAMS
        return CallSpec.from_turn(program, "", number_of_turn, "go on", 1)

    return make


def _turn(name: str, words: int) -> Callable[[int], CallSpec]:
    return lambda number: turn(f"{name}-{number}", words)
