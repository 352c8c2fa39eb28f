"""Why a target gets no new work."""

from collections.abc import Set
from dataclasses import dataclass
from enum import StrEnum

from swifttide_core.forwarding._homes import Homes, RegionMap
from swifttide_core.forwarding._target_entry import TargetEntry


class Obstacle(StrEnum):
    """What keeps a target from new requests, retries and resumed streams."""

    DRAINING = "draining"
    ZONE_EMPTIED = "zone_emptied"
    AWAY_FROM_HOME = "away_from_home"


@dataclass(frozen=True, slots=True)
class ZoneRules:
    """What operators said of availability zones.

    Parameters
    ----------
    regions : RegionMap
    emptied : set of str
        Zones to whose targets nothing is to be sent.
    """

    regions: RegionMap
    emptied: Set[str] = frozenset()


def obstacle_of(
    target: TargetEntry, zones: ZoneRules, homes: Homes = None
) -> Obstacle | None:
    """Return what keeps a target from a request; None if nothing does.

    Parameters
    ----------
    target : TargetEntry
    zones : ZoneRules
    homes : frozenset of str or None
        Regions to which the request is bound.
    """
    if target.draining:
        return Obstacle.DRAINING
    if target.zone in zones.emptied:
        return Obstacle.ZONE_EMPTIED
    if not zones.regions.allows(target.zone, homes):
        return Obstacle.AWAY_FROM_HOME
    return None
