"""Decodes a page of rows of which another writer may have written any."""

import re
from collections.abc import Iterator

from swifttide_core.checks import JsonDecoder, UnreadableJson
from swifttide_daemon.store._types import Row
from swifttide_daemon.store._unusable_rows import UnusableRows

_ROWS = JsonDecoder(dict[str, list[Row]])
_ROW = JsonDecoder(Row)
_KEY = JsonDecoder(str)
_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)
_MEMBER = re.compile(rb"\s*:\s*")


def decode_page(
    body: bytes, table: str, unusable: UnusableRows
) -> tuple[list[Row], int, str]:
    """Return the usable rows of a page, the number of all, and the key of the last one.

    Raises
    ------
    UnreadableJson
        The page isn't a list of rows at all.
    """
    try:
        rows = _ROWS.decode(body)["rows"]
    except (UnreadableJson, KeyError):
        return _decode_each(body, table, unusable)
    return rows, len(rows), rows[-1].key if rows else ""


def _decode_each(body, table, unusable):
    rows, n_rows, last_key = [], 0, ""
    for item in _split(body):
        n_rows += 1
        last_key = _key_of(item)
        try:
            rows.append(_ROW.decode(item))
        except UnreadableJson as exc:
            unusable.report(table, last_key, exc)
    return rows, n_rows, last_key


def _split(body: bytes) -> Iterator[bytes]:
    """Yield the rows of a page, whatever they hold and however deep."""
    depth = start = 0
    for token in _TOKEN.finditer(body):
        match token[0]:
            case b"[" | b"{":
                depth += 1
                if depth == 3:
                    start = token.start()
            case b"]" | b"}":
                if depth == 3:
                    yield body[start : token.end()]
                depth -= 1
    if depth or not body.startswith(b"{"):
        raise UnreadableJson("got a page that isn't a list of rows")


def _key_of(item: bytes) -> str:
    """Return the key of a row that can't be read.

    Raises `UnreadableJson` if it has none, since the page after it can't be asked for.
    """
    depth, is_key = 0, False
    for token in _TOKEN.finditer(item):
        match token[0]:
            case b"[" | b"{":
                depth += 1
            case b"]" | b"}":
                depth -= 1
            case text if depth == 1 and is_key:
                return _KEY.decode(text)
        if depth == 1:
            follows = _MEMBER.match(item, token.end())
            is_key = token[0] == b'"key"' and follows is not None
    raise UnreadableJson("got a row without a key")
