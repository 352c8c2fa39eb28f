"""What a new program gave way to when its service's targets were full."""

from dataclasses import dataclass
from typing import Any

from swifttide_cli.commands._log_lines import seconds_of
from swifttide_cli.commands._scheduler_status import (
    EVENT,
    SchedulerStatus,
    number_of,
)

STATUS_MAX_DISTANCE_SECONDS = 3.0
"""Time between a refusal and a status that still explains it: a scheduler writes one
each second, and the load of a burst changes within a few."""


@dataclass(frozen=True)
class Competitors:
    """A refused program and the state of the scheduler; None for what isn't known.

    Parameters
    ----------
    rank : int or None
    customer : str
    waited : float or None
        Seconds that the program had waited.
    retry_after : float or None
        Seconds after which the caller was told to come back.
    status : SchedulerStatus or None
        The status nearest to the refusal; None where the scheduler didn't decide.
    distance : float
        Seconds from the refusal to the status, negative for an earlier status.
    """

    rank: int | None
    customer: str
    waited: float | None
    retry_after: float | None
    status: SchedulerStatus | None
    distance: float = 0.0

    @classmethod
    def find(
        cls, own: list[dict[str, Any]], lines: list[dict[str, Any]]
    ) -> "Competitors | None":
        """Return what a request gave way to; None if it wasn't refused for that.

        Parameters
        ----------
        own : list of dict
            The request's log lines in order of time.
        lines : list of dict
            The lines of all hosts.
        """
        refusals = [line for line in own if line.get("reason") == "targets_full"]
        if not refusals:
            return None
        refusal, told = refusals[-1], {}
        for line in own:
            if line["event"] == "no_place_for_program" or line is refusal:
                told |= {k: v for k, v in line.items() if v is not None and v != ""}
        rank = told.get("rank")
        status = None
        if told.get("by_order", True):
            status = _nearest(lines, told.get("service"), seconds_of(refusal))
        return cls(
            rank=rank if isinstance(rank, int) else None,
            customer=str(told.get("customer", "")),
            waited=number_of(told, "waited"),
            retry_after=number_of(told, "retry_after"),
            status=status,
            distance=status.at - seconds_of(refusal) if status else 0.0,
        )

    def as_dict(self) -> dict[str, Any]:
        """Return the program and its competitors for ``--json``."""
        most = self._most_waiting()
        return {
            "rank": self.rank,
            "customer": self.customer or None,
            "waited": self.waited,
            "retry_after": self.retry_after,
            "status_seconds": round(self.distance, 3) if self.status else None,
            "slots": self.status and self.status.slots,
            "outstanding_above": {str(r): n for r, n in self._above().items()},
            "outstanding_same_rank": self._same(),
            "reserved_above": self._reserved(),
            "most_waiting": most
            and {"rank": most[0], "customer": most[1] or None, "waiting": most[2]},
        }

    def as_text(self) -> str:
        """Return the program and its competitors in a sentence."""
        told = []
        if self.customer:
            told.append(f"customer {self.customer}")
        if self.rank is not None:
            told.append(f"rank {self.rank}")
        if self.waited is not None:
            told.append(f"had waited {self.waited:g} s")
        if self.retry_after is not None:
            told.append(f"was told to come back in {self.retry_after:g} s")
        parts = [", ".join(told)] if told else []
        if self.status:
            parts.append(self._scheduler_text())
        return "; ".join(parts)

    def _scheduler_text(self) -> str:
        side = "before" if self.distance <= 0 else "after"
        slots = f"of {self.status.slots:g} slots " if self.status.slots else ""
        if self.rank is None:
            held = self.status.outstanding
        else:
            same = self._same()
            held = self._above() | ({self.rank: same} if same else {})
        shown = [f"rank {rank} had {n:g}" for rank, n in sorted(held.items())]
        reserved = self._reserved()
        if reserved is not None:
            shown.append(f"{reserved:g} were reserved above rank {self.rank}")
        text = f"{abs(self.distance):.1f} s {side}: {slots}"
        text += ", ".join(shown) or "none was occupied at its rank or above"
        most = self._most_waiting()
        if most:
            rank, customer, n = most
            text += f"; most waiting work: {n:g} of customer {customer} (rank {rank})"
        return text

    def _above(self) -> dict[int, float]:
        if self.status is None or self.rank is None:
            return {}
        outstanding = sorted(self.status.outstanding.items())
        return {rank: n for rank, n in outstanding if rank < self.rank and n}

    def _same(self) -> float | None:
        if self.status is None or self.rank is None:
            return None
        return self.status.outstanding.get(self.rank, 0)

    def _reserved(self) -> float | None:
        if self.status is None or self.rank is None:
            return None
        return self.status.reserved.get(self.rank)

    def _most_waiting(self) -> tuple[int, str, float] | None:
        waiting = self.status.waiting().most_common(1) if self.status else []
        return next(((*key, n) for key, n in waiting), None)


def _nearest(lines, service, at) -> SchedulerStatus | None:
    near = [
        line
        for line in lines
        if line["event"] == EVENT
        and service
        and line.get("service") == service
        and abs(seconds_of(line) - at) <= STATUS_MAX_DISTANCE_SECONDS
    ]
    if not near:
        return None
    nearest = min(near, key=lambda line: abs(seconds_of(line) - at))
    return SchedulerStatus.from_line(nearest)
