"""Figures by which an operator sees what a scheduler decides, and why."""

from collections.abc import Iterable, Mapping

from swifttide_core.forwarding import TargetEntry
from swifttide_core.placement import TargetSpeeds
from swifttide_core.scheduling._outstanding_turns import OutstandingTurns
from swifttide_core.scheduling._program_admission import ProgramAdmission
from swifttide_core.scheduling._program_times import ProgramTimes

MAX_LISTED = 40
"""Maximum number of customers or targets in one status, which bounds a log line."""


def scheduler_status(
    targets: Iterable[TargetEntry],
    turns: OutstandingTurns,
    speeds: TargetSpeeds,
    waiting_turns: Mapping[tuple[int, str], int],
    admission: ProgramAdmission,
    times: ProgramTimes,
    now: float,
) -> dict:
    """Return the figures of a scheduler as JSON-compatible data.

    Returns
    -------
    dict
        ``slots``, ``outstanding`` turns by rank, ``reserved`` slots for work above each
        rank, ``waiting_turns`` and ``waiting_programs`` by rank and customer,
        ``limits`` of outstanding turns by route, and ``targets`` with seconds between
        the events of a single turn and the number of outstanding turns.
    """
    targets = sorted(targets, key=lambda target: target.id)
    capacity = float(sum(target.capacity for target in targets))
    outstanding = turns.by_rank()
    return {
        "slots": capacity,
        "outstanding": {str(rank): n for rank, n in sorted(outstanding.items())},
        "reserved": {
            str(rank): round(admission.reserved_above(rank, now), 1)
            for rank in sorted(outstanding)
        },
        "waiting_turns": _listed(waiting_turns),
        "waiting_programs": _listed(admission.waiting_counts()),
        "limits": {
            route: round(admission.limit(route, capacity), 1)
            for route in list(times.snapshot())[:MAX_LISTED]
        },
        "targets": {
            target.id: [
                round(speeds.estimate(target.id, now).gap_seconds, 4),
                turns.count(target.id, now),
            ]
            for target in targets[:MAX_LISTED]
        },
    }


def _listed(counts) -> dict[str, int]:
    most = sorted(counts.items(), key=lambda item: -item[1])[:MAX_LISTED]
    return {f"{rank}/{customer}": n for (rank, customer), n in most}
