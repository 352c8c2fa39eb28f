"""Selection of the target for a call by estimated time to the first token."""

from swifttide_core.routing._choice import Choice, NoTarget
from swifttide_core.routing._config import RoutingConfig, check_routing_config
from swifttide_core.routing._route_request import CachedPrefix, RouteRequest
from swifttide_core.routing._router import Router
from swifttide_core.routing._target_index import TargetIndex
from swifttide_core.routing._target_view import TargetView

__all__ = [
    "CachedPrefix",
    "Choice",
    "NoTarget",
    "RouteRequest",
    "Router",
    "RoutingConfig",
    "TargetIndex",
    "TargetView",
    "check_routing_config",
]
