"""Routing configuration and target selection for forwarded requests, without I/O."""

from swifttide_core.forwarding._check_routing_config import check_routing_config
from swifttide_core.forwarding._check_target_entry import check_target_entry
from swifttide_core.forwarding._choose import Candidate, choose_target
from swifttide_core.forwarding._customer_terms import CustomerTerms
from swifttide_core.forwarding._exclusion import (
    ExclusionReason,
    ZoneRules,
    exclusion_reason,
)
from swifttide_core.forwarding._regions import (
    AllowedRegions,
    RegionMap,
    intersect_regions,
)
from swifttide_core.forwarding._request_kind import RequestKind
from swifttide_core.forwarding._request_limits import RequestLimits
from swifttide_core.forwarding._route import Route, WeightedService
from swifttide_core.forwarding._routing_config import RoutingConfig
from swifttide_core.forwarding._service_spec import ServiceSpec
from swifttide_core.forwarding._target_entry import TargetEntry

__all__ = [
    "AllowedRegions",
    "CustomerTerms",
    "ExclusionReason",
    "RegionMap",
    "RequestKind",
    "RequestLimits",
    "Route",
    "RoutingConfig",
    "ServiceSpec",
    "TargetEntry",
    "WeightedService",
    "ZoneRules",
    "Candidate",
    "check_routing_config",
    "check_target_entry",
    "choose_target",
    "exclusion_reason",
    "intersect_regions",
]
