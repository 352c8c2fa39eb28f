"""HTTP header fields as received or sent, and which of them a proxy forwards."""

Fields = tuple[tuple[bytes, bytes], ...]
"""Pairs of a name in lower case and its value."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Fields that concern one connection only (RFC 9110, 7.6.1)."""


def first_value(fields: Fields, name: bytes) -> bytes | None:
    """Return the first value of a field, or None."""
    for field, value in fields:
        if field == name:
            return value
    return None


def all_values(fields: Fields, name: bytes) -> list[bytes]:
    """Return all values of a field, in order."""
    return [value for field, value in fields if field == name]


def end_to_end(fields: Fields) -> Fields:
    """Return the fields that a proxy forwards.

    Hop-by-hop fields and those that ``Connection`` lists are left out.
    """
    named = {
        token.strip().lower()
        for value in all_values(fields, b"connection")
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | named
    return tuple((n, v) for n, v in fields if n not in dropped)
