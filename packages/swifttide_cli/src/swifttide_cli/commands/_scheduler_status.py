"""Log lines ``scheduler_status``: what a scheduler knew at one moment."""

from collections import Counter
from dataclasses import dataclass
from typing import Any

from swifttide_cli.commands._log_lines import seconds_of

EVENT = "scheduler_status"
"""Event that the host of a service's scheduler writes once a second."""


@dataclass(frozen=True)
class SchedulerStatus:
    """State of a service's scheduler; what a line lacks is empty or None.

    Parameters
    ----------
    at : float
        Time of the line, in seconds of the time of day.
    service : str
    slots : float or None
        Requests that all targets run at a time.
    outstanding : dict of int to float
        Turns at targets, by rank.
    reserved : dict of int to float
        Slots kept free for work above each rank.
    waiting_turns, waiting_programs : dict of tuple to float
        By rank and customer.
    limits : dict of str to float
        Turns that may be outstanding or waiting, by route.
    targets : dict of str to tuple
        Seconds between the events of a single turn, and outstanding turns.
    """

    at: float
    service: str
    slots: float | None
    outstanding: dict[int, float]
    reserved: dict[int, float]
    waiting_turns: dict[tuple[int, str], float]
    waiting_programs: dict[tuple[int, str], float]
    limits: dict[str, float]
    targets: dict[str, tuple[float, float]]

    @classmethod
    def from_line(cls, line: dict[str, Any]) -> "SchedulerStatus":
        """Read a log line; members that can't be read are left out."""
        return cls(
            at=seconds_of(line),
            service=str(line.get("service") or ""),
            slots=number_of(line, "slots"),
            outstanding=_by_rank(_numbers(line, "outstanding")),
            reserved=_by_rank(_numbers(line, "reserved")),
            waiting_turns=_by_rank_and_customer(_numbers(line, "waiting_turns")),
            waiting_programs=_by_rank_and_customer(_numbers(line, "waiting_programs")),
            limits=_numbers(line, "limits"),
            targets=_targets(line),
        )

    @property
    def load(self) -> float:
        """Turns that are outstanding or wait."""
        return sum(self.load_by_rank().values())

    @property
    def limit(self) -> float | None:
        """Limit of the route whose programs are refused first."""
        return min(self.limits.values(), default=None)

    def load_by_rank(self) -> Counter[int]:
        """Return the turns that are outstanding or wait, by rank."""
        load = Counter(self.outstanding)
        for (rank, _), n in self.waiting_turns.items():
            load[rank] += n
        return load

    def waiting(self) -> Counter[tuple[int, str]]:
        """Return the turns and programs that wait, by rank and customer."""
        return Counter(self.waiting_turns) + Counter(self.waiting_programs)


def number_of(line: dict[str, Any], name: str) -> float | None:
    """Return a number of a log line; None where it is missing or no number."""
    value = line.get(name)
    return value if _is_number(value) else None


def _is_number(value) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _numbers(line, name) -> dict[str, float]:
    value = line.get(name)
    if not isinstance(value, dict):
        return {}
    return {key: n for key, n in value.items() if _is_number(n)}


def _by_rank(numbers) -> dict[int, float]:
    return {int(rank): n for rank, n in numbers.items() if rank.isdecimal()}


def _by_rank_and_customer(numbers) -> dict[tuple[int, str], float]:
    found = {}
    for key, n in numbers.items():
        rank, _, customer = key.partition("/")
        if rank.isdecimal():
            found[int(rank), customer] = n
    return found


def _targets(line) -> dict[str, tuple[float, float]]:
    value = line.get("targets")
    found = {}
    for name, pair in value.items() if isinstance(value, dict) else ():
        match pair:
            case [gap, n] if _is_number(gap) and _is_number(n):
                found[name] = (gap, n)
    return found
