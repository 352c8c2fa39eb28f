"""Strict parser of JSON with comments."""

from typing import Any

import jsonc
from expression import Error, Ok, Result

from swifttide_core.checks._field_error import FieldError

_EXPECTED_FORMAT = "JSON with comments"


class _DuplicateMember(ValueError):
    """An object has two members of the same name."""


def load_json_with_comments(text: str) -> Result[Any, tuple[FieldError, ...]]:
    """Parse JSON with comments.

    Parameters
    ----------
    text : str
        Text of a settings file or document.

    Returns
    -------
    Result
        The decoded JSON, or one `FieldError`. For a syntax error it states
        the line and column.

    Notes
    -----
    Duplicate members are errors. The parser would silently take the last of the
    values, and an operator who edits the first would see no effect. ``NaN`` and
    ``Infinity``, which are not valid in JSON, are errors too, because range checks
    don't work with them: every comparison with ``NaN`` is false.
    """
    try:
        return Ok(
            jsonc.loads(
                text,
                object_pairs_hook=_reject_duplicate_members,
                parse_constant=_reject_constant,
            )
        )
    except _DuplicateMember as exc:
        return Error((FieldError("", str(exc), "unique member names"),))
    except (ValueError, RecursionError) as exc:
        return Error(
            (FieldError("", f"text that can't be read ({exc})", _EXPECTED_FORMAT),)
        )


def _reject_duplicate_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for name, value in pairs:
        if name in found:
            raise _DuplicateMember(f'"{name}" as a duplicate member of an object')
        found[name] = value
    return found


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is not a JSON number")
