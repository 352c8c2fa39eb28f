"""Strict decoding of JSON into frozen data classes that reports all errors at once.

msgspec stops at the first invalid value. An operator would have to run the command
again after each error that was fixed. Each field is therefore converted separately and
the errors are collected.
"""

import dataclasses
import difflib
import json
import typing
from typing import Any

import msgspec
from expression import Error, Ok, Result

from swifttide_core.checks._field_error import FieldError

_MAX_VALUE_CHARACTERS = 60
"""Maximum number of characters of an invalid value in an error message."""

_MISSING = "nothing"


def decode_fields(
    cls: type, raw: Any, path: str = ""
) -> Result[Any, tuple[FieldError, ...]]:
    """Convert a JSON object into a data class.

    Parameters
    ----------
    cls : type
        Frozen data class; fields that are data classes are decoded likewise.
    raw : object
        Decoded JSON.
    path : str
        Path of ``raw`` in its file, for error messages.

    Returns
    -------
    Result
        The instance, or all errors as `FieldError`: unknown members, missing members
        without a default and values of the wrong type.
    """
    if not isinstance(raw, dict):
        return Error((FieldError(path, format_value(raw), "an object"),))
    hints = typing.get_type_hints(cls)
    fields = {f.name: f for f in dataclasses.fields(cls)}
    errors = _find_unknown_members(raw, fields, path)
    values: dict[str, Any] = {}
    for name, field in fields.items():
        place = join_path(path, name)
        if name not in raw:
            errors += _check_missing_member(field, hints[name], place)
            continue
        match _decode_value(hints[name], raw[name], place):
            case Result(tag="ok", ok=value):
                values[name] = value
            case Result(error=found):
                errors += found
    return Error(tuple(errors)) if errors else Ok(cls(**values))


def join_path(path: str, name: str) -> str:
    """Return the path of member `name` of the object at `path`."""
    return f"{path}.{name}" if path else name


def format_value(value: Any) -> str:
    """Return a value as JSON, truncated for an error message."""
    text = json.dumps(value, default=str)
    if len(text) <= _MAX_VALUE_CHARACTERS:
        return text
    return f"{text[:_MAX_VALUE_CHARACTERS]}..."


def describe_secret(value: Any) -> str:
    """Describe a value that may be a secret key by its type and length only.

    If an operator enters a key instead of its hash, the error message must not write
    the key to the terminal or to the daemon's log.
    """
    if isinstance(value, str):
        return f"a string of {len(value)} characters"
    return f"a {type(value).__name__}"


def _find_unknown_members(raw: dict, fields: dict, path: str) -> list[FieldError]:
    return [
        FieldError(
            join_path(path, _printable(name)),
            "an unknown member",
            _suggest_member(name, fields),
        )
        for name in raw
        if name not in fields
    ]


def _printable(name: str) -> str:
    """Return a name that can be written to a terminal and to a log."""
    return str(name).encode(errors="backslashreplace").decode()


def _suggest_member(name: str, fields: dict) -> str:
    close = difflib.get_close_matches(str(name), fields, n=1)
    return f'a known member, perhaps "{close[0]}"' if close else "a known member"


def _check_missing_member(field: Any, hint: Any, place: str) -> list[FieldError]:
    no_default = field.default is dataclasses.MISSING
    no_factory = field.default_factory is dataclasses.MISSING
    if no_default and no_factory:
        return [FieldError(place, _MISSING, _describe_type(hint))]
    return []


def _decode_value(
    hint: Any, raw: Any, place: str
) -> Result[Any, tuple[FieldError, ...]]:
    if dataclasses.is_dataclass(hint):
        return decode_fields(hint, raw, place)
    try:
        return Ok(msgspec.convert(raw, hint, strict=True))
    except (msgspec.ValidationError, UnicodeError, RecursionError):
        # A text with half a surrogate pair can't be compared with names of an enum.
        hidden = place.rsplit(".", 1)[-1].startswith(("key", "operator_key"))
        got = describe_secret(raw) if hidden else format_value(raw)
        return Error((FieldError(place, got, _describe_type(hint)),))


def _describe_type(hint: Any) -> str:
    """Describe the JSON values that are valid for a type."""
    names = {str: "a string", int: "a whole number", float: "a number"}
    names[bool] = "true or false"
    if hint in names:
        return names[hint]
    if typing.get_origin(hint) is tuple:
        return "an array of strings"
    if isinstance(hint, type) and hasattr(hint, "__members__"):
        return "one of " + ", ".join(json.dumps(str(m)) for m in hint)
    if dataclasses.is_dataclass(hint):
        return "an object"
    parts = [_describe_type(a) for a in typing.get_args(hint) if a is not type(None)]
    return " or ".join([*parts, "null"])
