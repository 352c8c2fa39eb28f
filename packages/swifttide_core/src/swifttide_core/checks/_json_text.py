"""JSON with comments, read strictly."""

from typing import Any

import jsonc
from expression import Error, Ok, Result

from swifttide_core.checks._field_error import FieldError

_EXPECTED_FORMAT = "JSON with comments"


class _DuplicateMember(ValueError):
    """A member that stands twice in an object."""


def load_json_with_comments(text: str) -> Result[Any, tuple[FieldError, ...]]:
    """Parse JSON with comments.

    Parameters
    ----------
    text : str
        Text of a settings file or document.

    Returns
    -------
    Result
        The decoded JSON, or one `FieldError` that gives line and column.

    Notes
    -----
    A member that stands twice is an error: of two values the parser would take the
    last without a word, and an operator who edited the first would see no effect.
    Numbers that JSON doesn't know (``NaN``, ``Infinity``) are errors too, since
    they compare as false with every limit.
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
        return Error((FieldError("", str(exc), "each member once"),))
    except (ValueError, RecursionError) as exc:
        return Error(
            (FieldError("", f"text that can't be read ({exc})", _EXPECTED_FORMAT),)
        )


def _reject_duplicate_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for name, value in pairs:
        if name in found:
            raise _DuplicateMember(f'"{name}" twice in one object')
        found[name] = value
    return found


def _reject_constant(name: str) -> None:
    raise ValueError(f"{name} is no JSON number")
