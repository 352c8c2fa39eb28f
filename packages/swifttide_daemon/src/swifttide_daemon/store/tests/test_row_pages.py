"""Rows of another writer in the answers of the platform's store."""

import pytest
from expression import Ok

from swifttide_daemon.store._client import PlatformClient
from swifttide_daemon.store._row_pages import decode_page
from swifttide_daemon.store._types import Row
from swifttide_daemon.store._unusable_rows import UnusableRows

DEPTH = 100_000
ODD_VALUES = {
    "deep_array": b'{"a": ' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "deep_object": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "out_of_range": b'{"a": 1e400}',
    "not_a_number": b'{"a": NaN}',
    "surrogate": rb'{"a": "\ud800"}',
    "many_digits": b'{"a": ' + b"9" * 5000 + b"}",
    "list": b"[1, 2]",
    "text": b'"]}"',
    "number": b"7",
    "none": b"null",
    "other_key": rb'[{"key": "a/9"}, "\"", "key"]',
}
SOUND = b'{"key": "a/1", "version": 3, "value": {"x": 1}}'
LAST = b'{"key": "a/3", "version": 5, "value": {}}'


def odd_row(name):
    return b'{"version": 4, "value": ' + ODD_VALUES[name] + b', "key": "a/2"}'


def page(*rows):
    return b'{"rows": [' + b", ".join(rows) + b"]}"


@pytest.mark.parametrize("name", ODD_VALUES)
class TestOddRow:
    def test_rows_beside_it_are_read(self, caplog, name):
        """Guards against one row for which no other row of a table can be read."""
        unusable = UnusableRows()
        body = page(SOUND, odd_row(name), LAST)
        for _ in range(2):
            rows, n_rows, last_key = decode_page(body, "t", unusable)
        assert rows == [Row("a/1", 3, {"x": 1}), Row("a/3", 5, {})]
        assert (n_rows, last_key) == (3, "a/3")
        assert [record.row for record in caplog.records] == ["a/2"]

    def test_rows_after_it_are_asked_for(self, monkeypatch, name):
        """Guards against a table that seems to end with the page of an odd row."""
        client = PlatformClient(None, "http://p", {}, None, None)
        pages = {"": page(SOUND, odd_row(name)), "a%2F2": page(LAST)}
        asked = []

        def exchange(method, path):
            after = path.partition("after=")[2].partition("&")[0]
            asked.append(after)
            return Ok((200, pages[after]))

        monkeypatch.setattr(client, "_exchange", exchange)
        rows = client.scan("t", limit=2).ok
        assert [row.key for row in rows] == ["a/1", "a/3"]
        assert asked == ["", "a%2F2"]

    def test_row_itself_is_no_answer(self, monkeypatch, name):
        """Guards against a thread that ends, and a row that counts as missing."""
        client = PlatformClient(None, "http://p", {}, None, None)
        answer = Ok((200, odd_row(name)))
        monkeypatch.setattr(client, "_exchange", lambda *args: answer)
        assert client.read("t", "a/2").is_error()


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"rows": [', b"{}" * 3 + b"[", b'{"rows": [{"x": 1}]}']
)
def test_page_that_is_no_list_of_rows_is_an_error(body, monkeypatch):
    """Guards against an answer that counts as an empty table."""
    client = PlatformClient(None, "http://p", {}, None, None)
    monkeypatch.setattr(client, "_exchange", lambda *args: Ok((200, body)))
    assert client.scan("t").is_error()
