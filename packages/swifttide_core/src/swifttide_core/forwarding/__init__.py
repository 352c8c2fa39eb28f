"""Routes, services and targets of requests that are forwarded, without I/O."""

from swifttide_core.forwarding._choose import Candidate, choose_target
from swifttide_core.forwarding._customer_terms import CustomerTerms
from swifttide_core.forwarding._homes import Homes, RegionMap, common_homes
from swifttide_core.forwarding._obstacle import Obstacle, ZoneRules, obstacle_of
from swifttide_core.forwarding._request_kind import RequestKind
from swifttide_core.forwarding._request_limits import RequestLimits
from swifttide_core.forwarding._route import Route, WeightedService
from swifttide_core.forwarding._routing_config import RoutingConfig
from swifttide_core.forwarding._service_spec import ServiceSpec
from swifttide_core.forwarding._target_entry import TargetEntry

__all__ = [
    "Candidate",
    "CustomerTerms",
    "Homes",
    "Obstacle",
    "RegionMap",
    "RequestKind",
    "RequestLimits",
    "Route",
    "RoutingConfig",
    "ServiceSpec",
    "TargetEntry",
    "WeightedService",
    "ZoneRules",
    "choose_target",
    "common_homes",
    "obstacle_of",
]
