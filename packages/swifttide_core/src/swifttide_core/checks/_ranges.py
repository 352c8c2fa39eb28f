"""Checks of decoded values. Each check returns its errors instead of raising."""

import ipaddress
import re
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import urlsplit

from swifttide_core.checks._decoding import describe_secret, format_value
from swifttide_core.checks._field_error import FieldError

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")
_HOST_LABEL = re.compile(r"(?!-)[A-Za-z0-9_-]{1,63}(?<!-)")
_NUMERIC_LABEL = re.compile(r"[0-9]+|0[xX][0-9A-Fa-f]*")

MAX_HOST_NAME_CHARACTERS = 253
"""Longest name of the domain name system, without the final dot (RFC 1035)."""

MAX_FIELD_VALUE_CHARACTERS = 200
"""Longest value that is sent in a header field."""

MAX_PORT = 65_535


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
    """Check the name of a host, zone, customer, target or profile.

    Names become parts of URLs, headers and row keys. A name with a slash could refer
    to another row, and one with a line break could add a header to a request.
    """
    if _NAME.fullmatch(value):
        return ()
    expected = (
        "1 to 128 letters, digits, '.', '_' or '-', starting with a letter or digit"
    )
    return (FieldError(path, format_value(value), expected),)


def check_one_of(
    path: str, value: str, allowed: Iterable[str]
) -> tuple[FieldError, ...]:
    """Check that a value is one of the allowed values."""
    allowed = tuple(allowed)
    if value in allowed:
        return ()
    listed = ", ".join(format_value(a) for a in allowed)
    return (FieldError(path, format_value(value), f"one of {listed}"),)


def check_ip_address(path: str, value: str) -> tuple[FieldError, ...]:
    """Check an IP address. Processes connect by IP address, not by host name."""
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return (FieldError(path, format_value(value), "an IP address"),)
    return ()


def check_host_address(path: str, value: str) -> tuple[FieldError, ...]:
    """Check the IP address or host name of a server.

    An unspecified address such as ``0.0.0.0`` would reach this host itself, and a name
    that ends with a number would be read as an IPv4 address (``1`` as ``0.0.0.1``).
    """
    try:
        ip = ipaddress.ip_address(value)
    except ValueError:
        is_valid = _is_host_name(value)
    else:
        is_valid = not (ip.is_unspecified or ip.is_multicast)
    if is_valid:
        return ()
    expected = "an IP address or host name of a server"
    return (FieldError(path, format_value(value), expected),)


def _is_host_name(value: str) -> bool:
    name = value.removesuffix(".")
    labels = name.split(".")
    return (
        len(name) <= MAX_HOST_NAME_CHARACTERS
        and all(_HOST_LABEL.fullmatch(label) for label in labels)
        and not _NUMERIC_LABEL.fullmatch(labels[-1])
    )


def check_port(path: str, value: int) -> tuple[FieldError, ...]:
    """Check the number of a TCP or UDP port."""
    return check_between(path, value, 1, MAX_PORT)


def check_field_value(path: str, value: str) -> tuple[FieldError, ...]:
    """Check a text that is sent in a header field, such as the id of a target.

    A line break could add a header field to a request.
    """
    if (
        0 < len(value) <= MAX_FIELD_VALUE_CHARACTERS
        and value.isprintable()
        and value == value.strip()
    ):
        return ()
    expected = f"1 to {MAX_FIELD_VALUE_CHARACTERS} printable characters"
    return (FieldError(path, format_value(value), expected),)


def check_key_hash(path: str, value: str) -> tuple[FieldError, ...]:
    """Check the SHA-256 hash of a key in lower-case hex.

    The error never contains the value, which may be the key itself.
    """
    if _KEY_HASH.fullmatch(value):
        return ()
    expected = "the SHA-256 of a key, 64 lower-case hex digits"
    return (FieldError(path, describe_secret(value), expected),)


def check_url_by_ip(path: str, value: str) -> tuple[FieldError, ...]:
    """Check a base URL with an IP address, such as ``http://10.0.0.7:8000``.

    User, password, query and fragment are rejected. They would be joined with the
    path of every request, and a password would appear in logs.
    """
    expected = "a URL with an IP address, such as http://10.0.0.7:8000"
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
    """Check every item of an array, and that no item occurs twice."""
    errors: list[FieldError] = []
    seen = set()
    for i, value in enumerate(values):
        place = f"{path}[{i}]"
        errors += check(place, value)
        if value in seen:
            errors.append(FieldError(place, "a duplicate item", "unique items"))
        seen.add(value)
    return tuple(errors)


def _redact_credentials(url: str) -> str:
    return re.sub(r"//[^/@]*@", "//...@", url)
