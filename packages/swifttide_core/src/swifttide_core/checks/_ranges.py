"""Checks of decoded values; each returns its errors instead of raising."""

import ipaddress
import re
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import urlsplit

from swifttide_core.checks._decoding import describe_secret, format_value
from swifttide_core.checks._field_error import FieldError

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")


def check_between(
    path: str, value: float, low: float, high: float
) -> tuple[FieldError, ...]:
    """Check that ``low <= value <= high``; NaN fails."""
    if low <= value <= high:
        return ()
    return (
        FieldError(path, format_value(value), f"a number from {low:g} to {high:g}"),
    )


def check_name(path: str, value: str) -> tuple[FieldError, ...]:
    """Check an id of a host, zone, customer, target or profile.

    Ids become parts of URLs, headers and keys of rows. One with a slash or a line
    break in it would name another row, or add a header of its own to a request.
    """
    if _NAME.fullmatch(value):
        return ()
    expected = "1 to 128 letters, digits, '.', '_' or '-', not starting with a sign"
    return (FieldError(path, format_value(value), expected),)


def check_one_of(
    path: str, value: str, allowed: Iterable[str]
) -> tuple[FieldError, ...]:
    """Check that a value is one of a few."""
    allowed = tuple(allowed)
    if value in allowed:
        return ()
    listed = ", ".join(format_value(a) for a in allowed)
    return (FieldError(path, format_value(value), f"one of {listed}"),)


def check_ip_address(path: str, value: str) -> tuple[FieldError, ...]:
    """Check an IP number; processes talk by number, not by host name."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return (FieldError(path, format_value(value), "an IP number"),)
    return ()


def check_key_hash(path: str, value: str) -> tuple[FieldError, ...]:
    """Check the SHA-256 of a key in lower-case hex; never repeats the value."""
    if _KEY_HASH.fullmatch(value):
        return ()
    expected = "the SHA-256 of a key, 64 lower-case hex digits"
    return (FieldError(path, describe_secret(value), expected),)


def check_url_by_ip(path: str, value: str) -> tuple[FieldError, ...]:
    """Check a base URL such as ``http://10.0.0.7:8000``.

    User, query and fragment are refused: they would be joined with the path of
    every request, and a password in them would end up in logs.
    """
    expected = "a URL such as http://10.0.0.7:8000, by IP number"
    error = (FieldError(path, format_value(_redact_credentials(value)), expected),)
    try:
        parts = urlsplit(value)
        port = parts.port
        ipaddress.ip_address(parts.hostname or "")
    except ValueError:
        return error
    plain = not (parts.username or parts.password or parts.query or parts.fragment)
    if parts.scheme in ("http", "https") and port != 0 and plain:
        return ()
    return error


def check_each(
    path: str,
    values: Iterable[Any],
    check: Callable[[str, Any], tuple[FieldError, ...]],
) -> tuple[FieldError, ...]:
    """Check every item of an array, and that none stands twice."""
    errors: list[FieldError] = []
    seen = set()
    for i, value in enumerate(values):
        place = f"{path}[{i}]"
        errors += check(place, value)
        if value in seen:
            errors.append(FieldError(place, "an item again", "each item once"))
        seen.add(value)
    return tuple(errors)


def _redact_credentials(url: str) -> str:
    return re.sub(r"//[^/@]*@", "//...@", url)
