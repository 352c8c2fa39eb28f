"""Checks of what came in."""

from typing import TypeVar

import msgspec

from swifttide_standins.web._bad_input import BadInput

T = TypeVar("T")


def decode_json(body: bytes, kind: type[T]) -> T:
    """Decode a JSON body strictly into a frozen data class.

    Raises
    ------
    BadInput
        When the body is no JSON or doesn't have the expected shape.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise BadInput(f"body: {exc}") from exc


def check_int(text: str, name: str, minimum: int = 0) -> int:
    """Return the integer that a header or query parameter holds.

    Raises
    ------
    BadInput
        When it is no integer in ASCII digits, or below `minimum`.
    """
    if not (text.isascii() and text.isdigit()) or len(text) > 18:
        raise BadInput(f"{name}: got {text!r}, expected an integer")
    value = int(text)
    if value < minimum:
        raise BadInput(f"{name}: got {value}, expected at least {minimum}")
    return value
