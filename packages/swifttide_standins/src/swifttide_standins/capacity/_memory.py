"""Resident memory of a host against programs, history and customers."""

import time
from concurrent.futures import ThreadPoolExecutor

from swifttide_standins.capacity._fit import fit_line
from swifttide_standins.capacity._site import CALLER, DURABLE, Site, turn
from swifttide_standins.capacity._slope import Slope

N_WORKERS = 8
PROGRAM_COUNTS = (0, 250, 500, 1000)
HISTORY_WORDS = (1, 20_000, 20_001, 20_002)
HISTORY_PROGRAMS = 40
CUSTOMER_COUNTS = (0, 400, 800)
WORD = "saltbush "
STREAM_COUNTS = (1, 20, 40, 60)
STREAM_SECONDS = 6.0
SLOW_WORDS_PER_SECOND = 20.0
"""Fast enough that the gap between words doesn't pass for a congested engine."""

STREAM_WORDS = int(STREAM_SECONDS * SLOW_WORDS_PER_SECOND)
STREAM_TARGETS = 16
"""A new target takes a few calls at once only; with many of them all streams run."""


def measure_memory() -> list[Slope]:
    """Return idle memory, memory at 1,000 programs and the slopes."""
    return [*_programs(), _history(), _streams(), _customers()]


def _programs() -> list[Slope]:
    samples = []
    with Site.started(1) as site:
        for before, n_programs in zip(
            (0, *PROGRAM_COUNTS), PROGRAM_COUNTS, strict=False
        ):
            _open_programs(site, "p", range(before, n_programs), "go on")
            samples.append((n_programs, site.resident_bytes()))
    slope, _ = fit_line(samples)
    return [
        Slope("resident memory of a host alone, idle", samples[0][1], "B"),
        Slope("resident memory at 1,000 programs", samples[-1][1], "B"),
        Slope("resident memory for a program", slope, "B", tuple(samples)),
    ]


def _history() -> Slope:
    """Return the memory that a token of history takes up after its turn."""
    samples = []
    held = 0
    with Site.started(1) as site:
        for words in HISTORY_WORDS:
            content = WORD * words
            _open_programs(site, f"h{words}", range(HISTORY_PROGRAMS), content)
            held += HISTORY_PROGRAMS * words
            samples.append((held, site.resident_bytes()))
    slope, _ = fit_line(samples)
    name = "resident memory for a token of history after its turn"
    return Slope(name, slope, "B", tuple(samples))


def _streams() -> Slope:
    """Return the memory of a stream under way, at its entry host and holder."""
    samples = []
    with Site.started(1, words_per_second=SLOW_WORDS_PER_SECOND) as site:
        site.put_targets(range(STREAM_TARGETS), serves="default")
        for n_streams in STREAM_COUNTS:
            specs = [turn(f"s{n_streams}-{n}", STREAM_WORDS) for n in range(n_streams)]
            with ThreadPoolExecutor(1) as pool:
                fut = pool.submit(site.send, CALLER, specs, n_streams)
                time.sleep(STREAM_SECONDS / 2)
                samples.append((n_streams, site.resident_bytes()))
                fut.result()
    slope, _ = fit_line(samples)
    return Slope("resident memory for a stream under way", slope, "B", tuple(samples))


def _open_programs(site: Site, name: str, numbers: range, content: str) -> None:
    specs = [turn(f"{name}-{n}", 1, content) for n in numbers]
    site.send(DURABLE, specs, N_WORKERS)


def _customers() -> Slope:
    samples = []
    with Site.started(1) as site:
        for before, n_customers in zip(
            (0, *CUSTOMER_COUNTS), CUSTOMER_COUNTS, strict=False
        ):
            for number in range(before, n_customers):
                document = {"name": f"c{number}", "rate_per_second": 1, "burst": 1}
                site.fleet.operator.put("customer", f"c{number}", document)
                site.grant(f"key-{number}", f"c{number}")
            samples.append((n_customers, site.resident_bytes()))
    slope, _ = fit_line(samples)
    name = "resident memory for a customer with a key"
    return Slope(name, slope, "B", tuple(samples))
