"""What one service served, queued and refused within a window of time."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from swifttide_cli.commands._scheduler_status import SchedulerStatus, number_of
from swifttide_cli.commands._windows import quantile, reason_of, show_reasons

MAX_CUSTOMERS = 10
"""Customers that are shown for a window, those with most refusals first."""

UNKNOWN = "unknown"
"""Stands for a service, rank, customer or zone that a line doesn't have: it was written
by an older host, or the request was refused before that was known."""

COLUMNS = (
    "SERVICE",
    "SECOND",
    "GROUP",
    "SLOTS",
    "LOAD",
    "LIMIT",
    "RESERVED",
    "SERVED",
    "WAITING",
    "REFUSED",
    "WAIT P50",
    "WAIT P95",
    "REASONS",
)


def name_in(line: dict[str, Any], field_name: str) -> str:
    """Return a field of a line as a name; `UNKNOWN` where it is missing or empty."""
    value = line.get(field_name)
    return UNKNOWN if value is None or value == "" else str(value)


@dataclass
class Tally:
    """Requests of a group; waits at the scheduler in seconds."""

    n_served: int = 0
    n_refused: int = 0
    n_waiting: float | None = None
    waits: list[float] = field(default_factory=list)
    reasons: Counter[str] = field(default_factory=Counter)

    def add(self, line: dict[str, Any]) -> None:
        """Add a request that was served or refused."""
        if line["event"] == "request_refused":
            self.n_refused += 1
            self.reasons[reason_of(line)] += 1
            return
        self.n_served += 1
        wait = number_of(line, "queued_seconds")
        if wait is not None:
            self.waits.append(wait)

    def as_dict(self) -> dict[str, Any]:
        """Return the figures for ``--json``."""
        return {
            "served": self.n_served,
            "waiting": self.n_waiting,
            "refused": self.n_refused,
            "wait_p50": quantile(self.waits, 0.5),
            "wait_p95": quantile(self.waits, 0.95),
            "reasons": dict(self.reasons),
        }


@dataclass
class ContendedWindow:
    """A service within a window.

    State of the scheduler is that of the window's status with the highest load, so that
    its figures belong together.

    Parameters
    ----------
    service : str
    start : float
        Seconds after the first line of the logs.
    """

    service: str
    start: float
    status: SchedulerStatus | None = None
    whole: Tally = field(default_factory=Tally)
    ranks: dict[str, Tally] = field(default_factory=lambda: defaultdict(Tally))
    customers: dict[str, Tally] = field(default_factory=lambda: defaultdict(Tally))
    zones: dict[str, Tally] = field(default_factory=lambda: defaultdict(Tally))

    def add_request(self, line: dict[str, Any]) -> None:
        """Add a request that was served or refused."""
        self.whole.add(line)
        self.ranks[name_in(line, "rank")].add(line)
        self.customers[name_in(line, "customer")].add(line)
        self.zones[name_in(line, "zone")].add(line)

    def add_status(self, status: SchedulerStatus) -> None:
        """Add a status of the service's scheduler."""
        if self.status is None or status.load > self.status.load:
            self.status = status

    def close(self) -> None:
        """Set what waited in each group; call once all lines are added."""
        if self.status is None:
            return
        for rank in self.status.load_by_rank():
            self.ranks.setdefault(str(rank), Tally())
        for tally in (self.whole, *self.ranks.values(), *self.customers.values()):
            tally.n_waiting = 0
        for (rank, customer), n in self.status.waiting().items():
            name = customer or UNKNOWN
            for tally in (self.whole, self.ranks[str(rank)], self.customers[name]):
                tally.n_waiting = (tally.n_waiting or 0) + n

    def as_dict(self) -> dict[str, Any]:
        """Return the window for ``--json``."""
        return {
            "service": self.service,
            "second": self.start,
            **self._scheduler_figures(),
            **self.whole.as_dict(),
            "ranks": {
                rank: self._rank_figures(rank) | tally.as_dict()
                for rank, tally in self._sorted_ranks()
            },
            "customers": {n: t.as_dict() for n, t in self._most_refused()},
            "zones": {n: t.as_dict() for n, t in sorted(self.zones.items())},
        }

    def as_rows(self) -> list[tuple[Any, ...]]:
        """Return the rows of the table: the whole, and each group."""
        told = self.as_dict()
        rows = [self._row("all", told)]
        for kind, groups in (
            ("rank", told["ranks"]),
            ("customer", told["customers"]),
            ("zone", told["zones"]),
        ):
            rows += [self._row(f"{kind} {n}", group) for n, group in groups.items()]
        return rows

    def _row(self, group, figures) -> tuple[Any, ...]:
        waits = [figures["wait_p50"], figures["wait_p95"]]
        return (
            self.service,
            self.start,
            group,
            *(figures.get(name) for name in ("slots", "load", "limit", "reserved")),
            *(figures[name] for name in ("served", "waiting", "refused")),
            *(None if wait is None else f"{wait:.3f}" for wait in waits),
            show_reasons(figures["reasons"]),
        )

    def _scheduler_figures(self) -> dict[str, Any]:
        status = self.status
        return {
            "slots": status and status.slots,
            "load": status and status.load,
            "limit": status and status.limit,
            "limits": status.limits if status else {},
            "reserved": status and max(status.reserved.values(), default=None),
        }

    def _rank_figures(self, rank) -> dict[str, Any]:
        if self.status is None or not rank.isdecimal():
            return {"load": None, "reserved": None}
        return {
            "load": self.status.load_by_rank()[int(rank)],
            "reserved": self.status.reserved.get(int(rank)),
        }

    def _sorted_ranks(self) -> list[tuple[str, Tally]]:
        return sorted(
            self.ranks.items(),
            key=lambda item: (not item[0].isdecimal(), len(item[0]), item[0]),
        )

    def _most_refused(self) -> list[tuple[str, Tally]]:
        refused = [item for item in self.customers.items() if item[1].n_refused]
        refused.sort(key=lambda item: (-item[1].n_refused, item[0]))
        return refused[:MAX_CUSTOMERS]
