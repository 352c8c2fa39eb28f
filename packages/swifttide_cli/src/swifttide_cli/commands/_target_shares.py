"""Speeds of a service's targets beside the requests that each of them served."""

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass
from typing import Any

from swifttide_cli.commands._scheduler_status import SchedulerStatus

COLUMNS = (
    "SERVICE",
    "TARGET",
    "GAP S",
    "LONGEST GAP S",
    "SPEED",
    "OUTSTANDING",
    "SERVED",
    "SHARE",
    "SHARE BY SPEED",
)


@dataclass(frozen=True)
class TargetShare:
    """Speed and work of a target over all logs; None where no status has the target.

    Parameters
    ----------
    service, target : str
    gap_seconds : float or None
        Seconds between the events of a single turn, median of the statuses.
    longest_gap_seconds : float or None
        The same in the status in which the target was slowest.
    speed : float or None
        Fraction of the speed of the service's fastest target.
    outstanding : float or None
        Turns at the target, mean of the statuses.
    served : int
        Requests that the target served.
    share : float or None
        Their fraction of those that the service served; None where it served none.
    share_by_speed : float or None
        Fraction that the target would serve if shares were proportional to speeds,
        which holds where targets have equal slots and all of them are occupied.
    """

    service: str
    target: str
    gap_seconds: float | None
    longest_gap_seconds: float | None
    speed: float | None
    outstanding: float | None
    served: int
    share: float | None
    share_by_speed: float | None

    def as_dict(self) -> dict[str, Any]:
        """Return the target for ``--json``."""
        return asdict(self)

    def as_row(self) -> tuple[Any, ...]:
        """Return the target's row of the table."""
        formats = {
            "gap_seconds": ".4f",
            "longest_gap_seconds": ".4f",
            "speed": ".2f",
            "outstanding": ".1f",
            "share": ".3f",
            "share_by_speed": ".3f",
        }
        return tuple(
            format(value, formats[name])
            if name in formats and value is not None
            else value
            for name, value in self.as_dict().items()
        )


def target_shares(
    statuses: Iterable[SchedulerStatus],
    served: Mapping[tuple[str, str], int],
    services: Iterable[str],
) -> list[TargetShare]:
    """Return all targets, service by service, the fastest first.

    Parameters
    ----------
    statuses : iterable of SchedulerStatus
    served : mapping of tuple to int
        Number of served requests by service and target.
    services : iterable of str
        Services to return.
    """
    seen: dict[str, dict[str, list[tuple[float, float]]]] = defaultdict(dict)
    for status in statuses:
        for target, figures in status.targets.items():
            seen[status.service].setdefault(target, []).append(figures)
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for (service, target), n in served.items():
        counts[service][target] += n
    return [
        share
        for service in services
        for share in _shares_of(service, seen[service], counts[service])
    ]


def _shares_of(service, seen, counts) -> list[TargetShare]:
    gaps = {t: statistics.median(gap for gap, _ in seen[t]) for t in seen}
    speeds = {t: 1.0 / gap for t, gap in gaps.items() if gap > 0}
    n_all = counts.total()
    shares = []
    for target in seen.keys() | counts.keys():
        speed = speeds.get(target)
        figures = seen.get(target)
        shares.append(
            TargetShare(
                service,
                target,
                gaps.get(target),
                max(gap for gap, _ in figures) if figures else None,
                speed and speed / max(speeds.values()),
                statistics.fmean(n for _, n in figures) if figures else None,
                counts[target],
                counts[target] / n_all if n_all else None,
                speed and speed / sum(speeds.values()),
            )
        )
    return sorted(shares, key=lambda share: (-(share.speed or 0.0), share.target))
