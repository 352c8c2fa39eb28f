"""What operators and targets write to the platform's store."""

from typing import Any

import msgspec

from swifttide_core.forwarding import (
    CustomerTerms,
    RequestKind,
    RequestLimits,
    Route,
    RoutingConfig,
    ServiceSpec,
    TargetEntry,
    WeightedService,
)

_MILLISECONDS = 1000.0

_EMPTIED_PREFIX = "evacuate/"


def decode_config(value: bytes) -> RoutingConfig:
    """Decode the operator's document.

    Raises
    ------
    ValueError
        It can't be read, or a field that decides something is missing.
    """
    raw = msgspec.json.decode(value)
    try:
        return RoutingConfig(
            version=int(raw["version"]),
            routes=tuple(_route(r) for r in raw.get("routes") or ()),
            services=tuple(_service(s) for s in raw.get("services") or ()),
            customers=tuple(_customer(t) for t in raw.get("tenants") or ()),
            limits=_limits(raw.get("limits") or {}),
        )
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"a document without {exc}") from exc


def emptied_zone(key: str) -> str | None:
    """Return the availability zone that a row of the operator empties.

    None for another row. What stands in the row says nothing.
    """
    zone = key.removeprefix(_EMPTIED_PREFIX)
    return zone if zone and zone != key else None


def decode_target(target_id: str, value: bytes | None) -> TargetEntry | None:
    """Decode a target's entry; None for one that names no target to use."""
    if value is None:
        return None
    try:
        raw = msgspec.json.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    match raw:
        case {
            "service": str(service),
            "address": str(address),
            "zone": str(zone),
            "version": str(version),
            "capacity": int(capacity),
            "state": "ready" | "draining" as state,
        } if not isinstance(capacity, bool) and capacity > 0:
            ip, _, port = address.rpartition(":")
            if not ip or not port.isdigit() or not 0 < int(port) <= 65_535:
                return None
            born = raw.get("born")
            return TargetEntry(
                id=target_id,
                service=service,
                ip=ip,
                port=int(port),
                zone=zone,
                capacity=capacity,
                draining=state == "draining",
                started_ms=born if isinstance(born, int) else 0,
                cold_seconds=_cold_seconds(raw),
                software_version=version,
            )
    return None


def _cold_seconds(raw) -> float | None:
    """Return how long a target stays cold; None where that can't be read."""
    left = raw.get("cold_left_ms", 0)
    is_number = isinstance(left, (int, float)) and not isinstance(left, bool)
    return left / _MILLISECONDS if is_number and left >= 0 else None


def _route(raw: dict[str, Any]) -> Route:
    split = raw.get("split")
    if split:
        services = tuple(
            WeightedService(s["service"], float(s.get("weight", 1))) for s in split
        )
    else:
        services = (WeightedService(raw["service"], 1.0),)
    return Route(
        name=raw["name"],
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        kind=RequestKind(raw["type"]),
        services=services,
        timeout_seconds=float(raw.get("timeout_ms", 60_000)) / _MILLISECONDS,
        objective_seconds=float(raw.get("latency_target_ms", 0)) / _MILLISECONDS,
        max_attempts=int(raw.get("max_attempts") or 1),
        priority=int(raw.get("priority") or 0),
        public=bool(raw.get("public")),
        sticky=bool(raw.get("sticky")),
        resumable=bool(raw.get("resumable")),
        keeps_turns=bool(raw.get("retained")),
        keep_seconds=float(raw.get("retention_s") or 0),
        max_gap_seconds=float(raw.get("gap_target_ms") or 0) / _MILLISECONDS,
        regions=frozenset(raw.get("allowed_regions") or ()),
    )


def _service(raw: dict[str, Any]) -> ServiceSpec:
    # The name says little: it describes the engine that runs the model.
    engine = raw.get("runtime") or {}
    return ServiceSpec(
        name=raw["name"],
        max_connections=int(raw.get("max_conns") or 64),
        tokens_per_event=int(engine.get("chunk_tokens") or 0),
        concurrency=int(engine.get("capacity") or 0),
        cold_requests_per_second=float(raw.get("cold_per_s") or 0),
        cold_seconds=float(raw.get("cold_start_s") or 0),
        memory_tokens=int(engine.get("kv_capacity") or 0),
    )


def _customer(raw: dict[str, Any]) -> CustomerTerms:
    priority = raw.get("priority")
    return CustomerTerms(
        name=raw["name"],
        keys=tuple(raw.get("api_keys") or ()),
        priority=int(priority) if priority is not None else None,
        rate_per_second=float(raw.get("rate_per_s") or 0),
        burst=float(raw.get("burst") or 0),
        regions=frozenset(raw.get("allowed_regions") or ()),
    )


def _limits(raw: dict[str, Any]) -> RequestLimits:
    default = RequestLimits()
    return RequestLimits(
        max_header_bytes=int(raw.get("max_header_bytes", default.max_header_bytes)),
        max_body_bytes=int(raw.get("max_body_bytes", default.max_body_bytes)),
        header_seconds=_seconds(raw, "header_timeout_ms", default.header_seconds),
        idle_seconds=_seconds(raw, "idle_timeout_ms", default.idle_seconds),
    )


def _seconds(raw, name, default):
    value = raw.get(name)
    return default if value is None else float(value) / _MILLISECONDS
