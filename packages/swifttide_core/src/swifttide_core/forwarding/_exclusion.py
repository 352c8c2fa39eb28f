"""Why a target gets no new work."""

from collections.abc import Set
from dataclasses import dataclass
from enum import StrEnum

from swifttide_core.forwarding._regions import AllowedRegions, RegionMap
from swifttide_core.forwarding._target_entry import TargetEntry


class ExclusionReason(StrEnum):
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


def exclusion_reason(
    target: TargetEntry, zones: ZoneRules, allowed_regions: AllowedRegions = None
) -> ExclusionReason | None:
    """Return what keeps a target from a request; None if nothing does.

    Parameters
    ----------
    target : TargetEntry
    zones : ZoneRules
    homes : frozenset of str or None
        Regions to which the request is bound.
    """
    if target.draining:
        return ExclusionReason.DRAINING
    if target.zone in zones.emptied:
        return ExclusionReason.ZONE_EMPTIED
    if not zones.regions.allows(target.zone, allowed_regions):
        return ExclusionReason.AWAY_FROM_HOME
    return None
