"""Decoder of JSON that another process wrote."""

from typing import Any

import msgspec

_MAX_REASON_CHARACTERS = 120
"""Maximum number of characters of the parser's message in an error."""


class UnreadableJson(ValueError):
    """The bytes are not JSON, or not of the expected type."""


class JsonDecoder:
    """Decodes JSON from outside the process, with one error for all invalid input.

    Parameters
    ----------
    kind : type
        Expected type, as in `msgspec.json.decode`. Bounds of numbers are stated with
        `msgspec.Meta`.

    Notes
    -----
    A parser reports invalid input in several ways. Besides `msgspec.DecodeError`,
    deeply nested input raises `RecursionError`, also within members that ``kind`` does
    not have.
    """

    def __init__(self, kind: Any = Any):
        self._decoder = msgspec.json.Decoder(kind)

    def decode(self, data: bytes) -> Any:
        """Return the decoded value.

        Raises
        ------
        UnreadableJson
            Whatever the bytes are, no other exception is raised for them.
        """
        try:
            return self._decoder.decode(data)
        except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
            reason = str(exc)[:_MAX_REASON_CHARACTERS]
            raise UnreadableJson(f"got unreadable JSON ({reason})") from exc
