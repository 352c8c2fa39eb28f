"""Restriction of requests to regions."""

from collections.abc import Mapping
from dataclasses import dataclass, field

AllowedRegions = frozenset[str] | None
"""Regions in which a request may run; None if there is no restriction."""


def intersect_regions(*bounds: frozenset[str]) -> AllowedRegions:
    """Return the regions that all restrictions allow.

    An empty set is no restriction. Returns None if all sets are empty.
    """
    binding = [b for b in bounds if b]
    return frozenset.intersection(*binding) if binding else None


@dataclass(frozen=True, slots=True)
class RegionMap:
    """Mapping of availability zones to regions.

    Parameters
    ----------
    regions : mapping of str to str
        Region by zone.
    """

    regions: Mapping[str, str] = field(default_factory=dict)

    def allows(self, zone: str, allowed_regions: AllowedRegions) -> bool:
        """Return whether a zone is in an allowed region.

        A zone of unknown region is allowed only without a restriction.
        """
        return allowed_regions is None or self.regions.get(zone) in allowed_regions
