"""Ranges of the settings, and how they must fit together."""

from typing import TYPE_CHECKING

from swifttide_core.checks import (
    FieldError,
    check_between,
    check_each,
    check_ip_address,
    check_key_hash,
    check_name,
    check_one_of,
    check_url_by_ip,
    format_value,
)
from swifttide_daemon.settings._lease_settings import LeaseSettings
from swifttide_daemon.settings._limit_settings import MIB, LimitSettings
from swifttide_daemon.settings._log_settings import LOG_LEVELS
from swifttide_daemon.settings._timeout_settings import TimeoutSettings
from swifttide_daemon.settings._trace_settings import TraceExporter, TraceSettings

if TYPE_CHECKING:
    from swifttide_daemon.settings._settings import Settings

MAX_PORT = 65_535
MAX_SLOTS = 65_536
HOUR_SECONDS = 3600.0
DAY_SECONDS = 24 * HOUR_SECONDS
SHORTEST_SECONDS = 0.01
RENEWALS_IN_A_LEASE = 2
"""One renewal may be lost without the lease lapsing."""


def check_settings(cfg: "Settings") -> tuple[FieldError, ...]:
    """Return every error of decoded settings."""
    return (
        *check_name("host", cfg.host),
        *check_name("zone", cfg.zone),
        *check_url_by_ip("platform_url", cfg.platform_url),
        *_check_file_name("deployment_secret_file", cfg.deployment_secret_file),
        *check_ip_address("caller_address", cfg.caller_address),
        *check_between("caller_port", cfg.caller_port, 0, MAX_PORT),
        *check_ip_address("peer_address", cfg.peer_address),
        *check_between("peer_port", cfg.peer_port, 0, MAX_PORT),
        *_check_advertised(cfg.advertise_address),
        *check_each("operator_key_hashes", cfg.operator_key_hashes, check_key_hash),
        *check_between("n_slots", cfg.n_slots, 1, MAX_SLOTS),
        *_check_lease(cfg.lease),
        *check_between(
            "config.poll_seconds", cfg.config.poll_seconds, SHORTEST_SECONDS, 60
        ),
        *check_between(
            "config.max_stale_seconds", cfg.config.max_stale_seconds, 1, DAY_SECONDS
        ),
        *_check_limits(cfg.limits),
        *_check_timeouts(cfg.timeouts),
        *check_one_of("log.level", cfg.log.level, LOG_LEVELS),
        *_check_traces(cfg.traces),
    )


def _check_file_name(path: str, value: str) -> tuple[FieldError, ...]:
    if value and "\0" not in value:
        return ()
    return (FieldError(path, format_value(value), "the name of a file"),)


def _check_advertised(address: str) -> tuple[FieldError, ...]:
    """Check the address that peers are told.

    A host that listens at every address and advertises ``0.0.0.0`` is reached by
    nobody: its peers would call themselves, and its slots would go to others.
    """
    path = "advertise_address"
    errors = check_ip_address(path, address)
    if not errors and address in ("0.0.0.0", "::"):
        expected = "an IP number that peers can reach"
        return (FieldError(path, format_value(address), expected),)
    return errors


def _check_lease(cfg: LeaseSettings) -> tuple[FieldError, ...]:
    errors = (
        *check_between("lease.lease_seconds", cfg.lease_seconds, 0.1, HOUR_SECONDS),
        *check_between(
            "lease.renew_seconds", cfg.renew_seconds, SHORTEST_SECONDS, HOUR_SECONDS
        ),
        *check_between(
            "lease.drift_margin_seconds", cfg.drift_margin_seconds, 0, HOUR_SECONDS
        ),
    )
    needed = RENEWALS_IN_A_LEASE * cfg.renew_seconds + cfg.drift_margin_seconds
    if errors or needed <= cfg.lease_seconds:
        return errors
    expected = (
        f"at least {needed:g}, which is {RENEWALS_IN_A_LEASE} renew_seconds and "
        "drift_margin_seconds"
    )
    return (FieldError("lease.lease_seconds", f"{cfg.lease_seconds:g}", expected),)


def _check_limits(cfg: LimitSettings) -> tuple[FieldError, ...]:
    return (
        *check_between("limits.max_body_bytes", cfg.max_body_bytes, 1024, 256 * MIB),
        *check_between("limits.max_header_bytes", cfg.max_header_bytes, 1024, MIB),
        *check_between("limits.max_connections", cfg.max_connections, 1, 65_536),
        *check_between(
            "limits.idle_seconds", cfg.idle_seconds, SHORTEST_SECONDS, HOUR_SECONDS
        ),
        *check_between("limits.caller_threads", cfg.caller_threads, 1, 4096),
        *check_between("limits.peer_threads", cfg.peer_threads, 1, 4096),
    )


def _check_timeouts(cfg: TimeoutSettings) -> tuple[FieldError, ...]:
    named = (
        ("connect_seconds", cfg.connect_seconds),
        ("platform_seconds", cfg.platform_seconds),
        ("token_gap_seconds", cfg.token_gap_seconds),
        ("peer_seconds", cfg.peer_seconds),
    )
    errors: list[FieldError] = []
    for name, value in named:
        place = f"timeouts.{name}"
        errors += check_between(place, value, SHORTEST_SECONDS, HOUR_SECONDS)
    return tuple(errors)


def _check_traces(cfg: TraceSettings) -> tuple[FieldError, ...]:
    errors = check_between("traces.sample_ratio", cfg.sample_ratio, 0, 1)
    if cfg.exporter is TraceExporter.FILE and not cfg.path:
        expected = 'the name of a file, since exporter is "file"'
        return (*errors, FieldError("traces.path", '""', expected))
    return errors
