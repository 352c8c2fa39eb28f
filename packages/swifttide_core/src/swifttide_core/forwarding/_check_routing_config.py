"""Checks whether a configuration can be applied."""

from swifttide_core.checks import FieldError, check_between, check_field_value
from swifttide_core.forwarding._customer_terms import CustomerTerms
from swifttide_core.forwarding._request_limits import RequestLimits
from swifttide_core.forwarding._route import Route
from swifttide_core.forwarding._routing_config import RoutingConfig
from swifttide_core.forwarding._service_spec import ServiceSpec

MAX_NUMBER = 2**53
"""Largest number, which every JSON parser represents exactly. Sums and products of such
numbers with times and counts stay finite."""


def check_routing_config(cfg: RoutingConfig) -> tuple[FieldError, ...]:
    """Return the errors of a configuration; empty if it can be applied."""
    errors = [*check_between("version", cfg.version, 0, MAX_NUMBER)]
    for route in cfg.routes:
        errors += _check_route(f"routes.{route.name}", route)
    for service in cfg.services:
        errors += _check_service(f"services.{service.name}", service)
    for customer in cfg.customers:
        errors += _check_customer(f"customers.{customer.name}", customer)
    errors += _check_limits("limits", cfg.limits)
    return tuple(errors)


def _check_route(path, route: Route):
    weights = [w.weight for w in route.services]
    return _check_numbers(
        path,
        {
            "timeout_seconds": route.timeout_seconds,
            "objective_seconds": route.objective_seconds,
            "max_attempts": route.max_attempts,
            "priority": route.priority,
            "keep_seconds": route.keep_seconds,
            "max_gap_seconds": route.max_gap_seconds,
        }
        | {f"services[{i}].weight": w for i, w in enumerate(weights)},
    )


def _check_service(path, service: ServiceSpec):
    return _check_numbers(
        path,
        {
            "max_connections": service.max_connections,
            "tokens_per_event": service.tokens_per_event,
            "concurrency": service.concurrency,
            "memory_tokens": service.memory_tokens,
            "cold_requests_per_second": service.cold_requests_per_second,
            "cold_seconds": service.cold_seconds,
        },
    )


def _check_customer(path, customer: CustomerTerms):
    numbers = {
        "priority": customer.priority or 0,
        "rate_per_second": customer.rate_per_second,
        "burst": customer.burst,
    }
    return [
        *check_field_value(f"{path}.name", customer.name),
        *_check_numbers(path, numbers),
    ]


def _check_limits(path, limits: RequestLimits):
    return _check_numbers(
        path,
        {
            "max_header_bytes": limits.max_header_bytes,
            "max_body_bytes": limits.max_body_bytes,
            "header_seconds": limits.header_seconds,
            "idle_seconds": limits.idle_seconds,
        },
    )


def _check_numbers(path, numbers: dict[str, float]) -> list[FieldError]:
    errors = []
    for name, value in numbers.items():
        errors += check_between(f"{path}.{name}", value, 0, MAX_NUMBER)
    return errors
