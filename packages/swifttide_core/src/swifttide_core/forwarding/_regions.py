"""Regions to which an operator binds requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field

AllowedRegions = frozenset[str] | None
"""Regions in which a request may run; None: anywhere."""


def intersect_regions(*bounds: frozenset[str]) -> AllowedRegions:
    """Return the regions that all bounds allow; an empty bound binds nothing."""
    binding = [b for b in bounds if b]
    return frozenset.intersection(*binding) if binding else None


@dataclass(frozen=True, slots=True)
class RegionMap:
    """In which region each availability zone lies.

    Parameters
    ----------
    regions : mapping of str to str
        Region by zone.
    """

    regions: Mapping[str, str] = field(default_factory=dict)

    def allows(self, zone: str, allowed_regions: AllowedRegions) -> bool:
        """Whether a zone lies in one of the homes; one that isn't known doesn't."""
        return allowed_regions is None or self.regions.get(zone) in allowed_regions
