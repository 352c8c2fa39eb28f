"""What operators and targets write to the platform's store."""

from typing import Any

from swifttide_core.checks import InvalidFields, JsonDecoder
from swifttide_core.forwarding import (
    CustomerTerms,
    RequestKind,
    RequestLimits,
    Route,
    RoutingConfig,
    ServiceSpec,
    TargetEntry,
    WeightedService,
    check_routing_config,
    check_target_entry,
)

_documents = JsonDecoder()

_MILLISECONDS = 1000.0

_EMPTIED_PREFIX = "evacuate/"

_MAX_PORT_DIGITS = 5

_MAX_COLD_MS = 86_400_000
"""Longest time that a target can state to stay cold: a day. More is no such time."""


def decode_config(value: bytes) -> RoutingConfig:
    """Decode the operator's document.

    Raises
    ------
    ValueError
        It can't be read, a field that decides something is missing, or a value is out
        of range.
    """
    raw = _documents.decode(value)
    try:
        cfg = RoutingConfig(
            version=int(raw["version"]),
            routes=tuple(_route(r) for r in raw.get("routes") or ()),
            services=tuple(_service(s) for s in raw.get("services") or ()),
            customers=tuple(_customer(t) for t in raw.get("tenants") or ()),
            limits=_limits(raw.get("limits") or {}),
        )
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"a document without {exc}") from exc
    except OverflowError as exc:
        raise ValueError(f"a number out of range ({exc})") from exc
    InvalidFields.raise_for(check_routing_config(cfg))
    return cfg


def emptied_zone(key: str) -> str | None:
    """Return the availability zone that a row of the operator empties.

    None for another row. What stands in the row says nothing.
    """
    zone = key.removeprefix(_EMPTIED_PREFIX)
    return zone if zone and zone != key else None


def decode_target(target_id: str, value: bytes) -> TargetEntry:
    """Decode a target's entry.

    Raises
    ------
    ValueError
        The entry names no target to use; says why.
    """
    raw = _documents.decode(value)
    match raw:
        case {
            "service": str(service),
            "address": str(address),
            "zone": str(zone),
            "version": str(version),
            "capacity": int(capacity),
            "state": "ready" | "draining" as state,
        } if not isinstance(capacity, bool):
            ip, port = _split_address(address)
        case _:
            raise ValueError("got an entry without the fields of a target")
    born = raw.get("born")
    is_born_known = isinstance(born, int) and not isinstance(born, bool)
    entry = TargetEntry(
        id=target_id,
        service=service,
        ip=ip,
        port=port,
        zone=zone,
        capacity=capacity,
        draining=state == "draining",
        started_ms=born if is_born_known else 0,
        cold_seconds=_cold_seconds(raw),
        software_version=version,
    )
    InvalidFields.raise_for(check_target_entry(entry))
    return entry


def _split_address(address) -> tuple[str, int]:
    ip, _, port = address.rpartition(":")
    # Other digits than ASCII ones, such as superscripts, are no number for `int`.
    if not (port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS):
        raise ValueError(f"got the address {address[:80]!r}, expected IP:PORT")
    return ip, int(port)


def _cold_seconds(raw) -> float | None:
    """Return how long a target stays cold; None where that can't be read."""
    left = raw.get("cold_left_ms", 0)
    is_number = isinstance(left, (int, float)) and not isinstance(left, bool)
    in_range = is_number and 0 <= left <= _MAX_COLD_MS
    return left / _MILLISECONDS if in_range else None


def _route(raw: dict[str, Any]) -> Route:
    split = raw.get("split")
    if split:
        services = tuple(
            WeightedService(_text(s, "service"), float(s.get("weight", 1)))
            for s in split
        )
    else:
        services = (WeightedService(_text(raw, "service"), 1.0),)
    return Route(
        name=_text(raw, "name"),
        host=_text(raw, "host").lower(),
        prefix=_text(raw, "prefix"),
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
        name=_text(raw, "name"),
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
        name=_text(raw, "name"),
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


def _text(raw, name) -> str:
    value = raw[name]
    if not isinstance(value, str):
        raise ValueError(f"{name}: got {value!r:.80}, expected a string")
    return value


def _seconds(raw, name, default):
    value = raw.get(name)
    return default if value is None else float(value) / _MILLISECONDS
