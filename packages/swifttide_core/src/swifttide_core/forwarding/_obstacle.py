"""Why a target gets no new work."""

from collections.abc import Set
from enum import StrEnum

from swifttide_core.forwarding._target_entry import TargetEntry


class Obstacle(StrEnum):
    """What keeps a target from new requests, retries and resumed streams."""

    DRAINING = "draining"
    ZONE_EMPTIED = "zone_emptied"


def obstacle_of(target: TargetEntry, emptied_zones: Set[str]) -> Obstacle | None:
    """Return what keeps a target from new work; None if nothing does.

    Parameters
    ----------
    target : TargetEntry
    emptied_zones : set of str
        Availability zones to whose targets the operator wants nothing sent.
    """
    if target.draining:
        return Obstacle.DRAINING
    if target.zone in emptied_zones:
        return Obstacle.ZONE_EMPTIED
    return None
