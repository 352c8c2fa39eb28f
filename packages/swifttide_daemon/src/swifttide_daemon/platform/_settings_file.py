"""The settings file of a machine of the print office."""

import tomllib
from pathlib import Path
from typing import Any

from swifttide_core.checks import check_host_address, check_port
from swifttide_core.forwarding import RegionMap
from swifttide_daemon.gateway import GatewaySettings

SETTINGS_VARIABLE = "SWIFTTIDE_SETTINGS"
"""Environment variable that names the file."""

METRICS_PORT = 9464
"""Where the deploy file says that metrics are served."""

MAX_REASON_CHARACTERS = 200

MAX_PORT_DIGITS = 5

MAX_NUMBER = 2**53
"""Largest number of a setting: sums and products of such numbers stay finite."""

BYTES_PER_MB = 1_000_000
"""Unit of ``limits.memory_mb``. If the platform means 1,048,576, the budget is 5 %
smaller than it could be; the other way round it would be too large."""


class SettingsError(ValueError):
    """The file can't be used.

    Parameters
    ----------
    detail : str
        Place, what was got and what was expected.
    """


def read_settings(path: str | Path) -> GatewaySettings:
    """Read and check a settings file; fields that aren't known are ignored.

    Raises
    ------
    SettingsError
        Names the first wrong value.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        got = f"got a file that can't be read ({type(exc).__name__})"
        raise SettingsError(f"{path}: {got}, expected TOML") from exc
    try:
        raw = tomllib.loads(text)
    except (ValueError, RecursionError) as exc:
        got = str(exc)[:MAX_REASON_CHARACTERS]
        raise SettingsError(f"{path}: got {got}, expected TOML") from exc
    return _decode(raw)


def _decode(raw) -> GatewaySettings:
    caller_ip, caller_port = _address(raw, "listen.frontend")
    _, ready_port = _address(raw, "listen.ready")
    store_ip, store_port = _address(raw, "platform.address")
    first_port, _ = _ports(raw)
    return GatewaySettings(
        host=_get(raw, "node_name", str),
        zone=_get(raw, "zone", str),
        ip=caller_ip,
        caller_port=caller_port,
        ready_port=ready_port,
        peer_port=first_port,
        metrics_port=METRICS_PORT,
        store_ip=store_ip,
        store_port=store_port,
        row_bytes=int(_get(raw, "platform.row_bytes", int, 65_536)),
        store_writes_per_second=float(_get(raw, "platform.writes_per_s", float, 800.0)),
        cores=_get(raw, "limits.cpu_fraction", float, 1.0)
        * _get(raw, "limits.cpu_cores", float, 1.0),
        stop_seconds=float(_get(raw, "bounds.grace_s", float, 8.0)),
        regions=_regions(raw),
        rate_extra=float(_get(raw, "bounds.quota_extra", float, 0.0)),
        cold_excess=float(_get(raw, "bounds.cold_excess", float, 1.0)),
        cold_extra=float(_get(raw, "bounds.cold_extra", float, 0.0)),
        memory_bytes=int(_get(raw, "limits.memory_mb", float, 0.0) * BYTES_PER_MB),
    )


def _get(raw, place: str, kind: type, default: Any = None) -> Any:
    value = raw
    for name in place.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    if value is None and default is not None:
        return default
    kinds = (int, float) if kind is float else kind
    if isinstance(value, bool) or not isinstance(value, kinds):
        raise SettingsError(f"{place}: got {value!r:.80}, expected {kind.__name__}")
    if kind in (int, float) and not 0 <= value <= MAX_NUMBER:
        expected = f"a number from 0 to {MAX_NUMBER}"
        raise SettingsError(f"{place}: got {value!r:.80}, expected {expected}")
    return value


def _regions(raw) -> RegionMap:
    zones = _get(raw, "zones", dict, {})
    return RegionMap({z: r for z, r in zones.items() if isinstance(r, str)})


def _address(raw, place: str) -> tuple[str, int]:
    text = _get(raw, place, str)
    ip, _, port = text.rpartition(":")
    # Other digits than ASCII ones, such as superscripts, are no number for `int`.
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or check_port(place, int(port)) or check_host_address(place, ip):
        raise SettingsError(f"{place}: got {text!r:.80}, expected IP:PORT")
    return ip, int(port)


def _ports(raw) -> tuple[int, int]:
    ports = _get(raw, "internal_ports", list)
    match ports:
        case [int() as first, int() as last] if 0 < first <= last <= 65_535:
            return first, last
    raise SettingsError(f"internal_ports: got {ports!r}, expected [FIRST, LAST]")
