"""Resident memory of a host against programs, history and customers."""

from swifttide_standins.capacity._fit import fit_line
from swifttide_standins.capacity._site import DURABLE, Site, turn
from swifttide_standins.capacity._slope import Slope

N_WORKERS = 8
PROGRAM_COUNTS = (0, 250, 500, 1000)
HISTORY_WORDS = (1, 20_000, 40_000)
HISTORY_PROGRAMS = 40
CUSTOMER_COUNTS = (0, 400, 800)
WORD = "saltbush "


def measure_memory() -> list[Slope]:
    """Return idle memory, memory at 1,000 programs and the slopes."""
    return [*_programs(), _history(), _customers()]


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
    samples = []
    with Site.started(1) as site:
        for words in HISTORY_WORDS:
            content = WORD * words
            numbers = range(HISTORY_PROGRAMS)
            _open_programs(site, f"h{words}", numbers, content)
            samples.append((words, site.resident_bytes() / HISTORY_PROGRAMS))
    slope, _ = fit_line(samples)
    name = "resident memory for a token of history held"
    return Slope(name, slope, "B", tuple(samples))


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
