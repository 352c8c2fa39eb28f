"""Decide whether a target is excluded from new requests, and for which reason.

A target is excluded while it drains, while the operator keeps its availability zone
empty, or if its zone is outside the regions that are allowed for the request.
"""

from collections.abc import Set
from dataclasses import dataclass
from enum import StrEnum

from swifttide_core.forwarding._regions import AllowedRegions, RegionMap
from swifttide_core.forwarding._target_entry import TargetEntry


class ExclusionReason(StrEnum):
    """Reason to exclude a target from new requests, retries and resumed streams.

    ``AWAY_FROM_HOME`` means that the target is outside the allowed regions.
    """

    DRAINING = "draining"
    ZONE_EMPTIED = "zone_emptied"
    AWAY_FROM_HOME = "away_from_home"


@dataclass(frozen=True, slots=True)
class ZoneRules:
    """Operator settings for availability zones.

    Parameters
    ----------
    regions : RegionMap
        Region of each zone.
    emptied : set of str
        Zones whose targets must not receive requests.
    """

    regions: RegionMap
    emptied: Set[str] = frozenset()


def exclusion_reason(
    target: TargetEntry, zones: ZoneRules, allowed_regions: AllowedRegions = None
) -> ExclusionReason | None:
    """Return why a target must not receive a request, or None if it may.

    Parameters
    ----------
    target : TargetEntry
    zones : ZoneRules
    allowed_regions : frozenset of str or None
        Regions in which the request may run; None if there is no restriction.
    """
    if target.draining:
        return ExclusionReason.DRAINING
    if target.zone in zones.emptied:
        return ExclusionReason.ZONE_EMPTIED
    if not zones.regions.allows(target.zone, allowed_regions):
        return ExclusionReason.AWAY_FROM_HOME
    return None
