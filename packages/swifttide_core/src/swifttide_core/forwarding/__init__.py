"""Routes, services and targets of requests that are forwarded, without I/O."""

from swifttide_core.forwarding._choose import Candidate, choose_target
from swifttide_core.forwarding._customer_terms import CustomerTerms
from swifttide_core.forwarding._obstacle import Obstacle, obstacle_of
from swifttide_core.forwarding._request_kind import RequestKind
from swifttide_core.forwarding._request_limits import RequestLimits
from swifttide_core.forwarding._route import Route, WeightedService
from swifttide_core.forwarding._routing_config import RoutingConfig
from swifttide_core.forwarding._service_spec import ServiceSpec
from swifttide_core.forwarding._target_entry import TargetEntry

__all__ = [
    "Candidate",
    "CustomerTerms",
    "Obstacle",
    "RequestKind",
    "RequestLimits",
    "Route",
    "RoutingConfig",
    "ServiceSpec",
    "TargetEntry",
    "WeightedService",
    "choose_target",
    "obstacle_of",
]
