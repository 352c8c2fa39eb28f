"""Checks whether a target can be used as its entry describes it."""

from swifttide_core.checks import (
    FieldError,
    check_between,
    check_field_value,
    check_host_address,
    check_port,
)
from swifttide_core.forwarding._target_entry import TargetEntry

MAX_CAPACITY = 1_000_000
"""Largest number of concurrent requests of one target. It has a file descriptor for
each, so that no target comes near."""

MAX_TEXT_CHARACTERS = 200
"""Longest name of a service, an availability zone or a version of software. Hosts send
them to each other in single datagrams."""

MAX_STARTED_MS = 2**53
"""Latest start time in milliseconds, which every JSON parser represents exactly."""


def check_target_entry(entry: TargetEntry) -> tuple[FieldError, ...]:
    """Return the errors of a target's entry; empty if the target can be used.

    The entry comes from another writer. Each value is checked here that would otherwise
    fail later: the address while connecting, the id in a header field of each request,
    and numbers in sums or in messages between hosts.
    """
    return (
        *check_field_value("id", entry.id),
        *check_host_address("address", entry.ip),
        *check_port("port", entry.port),
        *check_between("capacity", entry.capacity, 1, MAX_CAPACITY),
        *check_between("started_ms", entry.started_ms, 0, MAX_STARTED_MS),
        *_check_text("service", entry.service),
        *_check_text("zone", entry.zone),
        *_check_text("software_version", entry.software_version),
    )


def _check_text(path, value):
    if len(value) <= MAX_TEXT_CHARACTERS:
        return ()
    got = f"{len(value)} characters"
    return (FieldError(path, got, f"at most {MAX_TEXT_CHARACTERS} characters"),)
