"""Odd events and control answers of engines."""

import pytest

from swifttide_daemon.settings import TimeoutSettings
from swifttide_daemon.targets import EngineClient, TargetFailure
from swifttide_daemon.targets.tests.test_cut_streams import HEAD, chat
from swifttide_daemon.transport.tests._cutting_server import serve_cut

DEPTH = 60_000
ODD_VALUES = {
    "deep_array": b"[" * DEPTH + b"]" * DEPTH,
    "deep_object": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "out_of_range": b"1e400",
    "many_digits": b"9" * 400,
    "not_a_number": b"NaN",
    "fraction": b"1.5",
    "text": b'"many"',
    "surrogate": b'"\\ud800"',
    "list": b"[1]",
    "none": b"null",
}
EVENTS = {
    "whole": b"VALUE",
    "index": b'{"request_id": "r1", "index": VALUE, '
    b'"choices": [{"delta": {"content": "a"}}]}',
    "choices": b'{"request_id": "r1", "index": 0, "choices": VALUE}',
    "usage": b'{"request_id": "r1", "done": true, "usage": VALUE}',
    "tokens": b'{"request_id": "r1", "done": true, '
    b'"usage": {"prompt_tokens": VALUE, "completion_tokens": 1}}',
}


@pytest.mark.parametrize("value", ODD_VALUES)
class TestOddAnswers:
    @pytest.mark.parametrize("member", EVENTS)
    def test_odd_event_fails_its_call(self, value, member):
        """Guards against an error that nobody expects, or a count that is no number."""
        event = EVENTS[member].replace(b"VALUE", ODD_VALUES[value])
        with (
            serve_cut(HEAD + b"\r\ndata: " + event + b"\n\n") as server,
            pytest.raises(TargetFailure) as failure,
        ):
            list(chat(server))
        assert failure.value.verdict == "may_have_run"

    @pytest.mark.parametrize("member", ["whole", "programs", "program"])
    def test_odd_listing_is_no_listing(self, value, member):
        """Guards against a thread that ends for what an engine says it keeps."""
        before, after = {
            "whole": (b"", b""),
            "programs": (b'{"programs": ', b"}"),
            "program": (b'{"programs": {"p": ', b"}}"),
        }[member]
        body = before + ODD_VALUES[value] + after
        client = EngineClient.from_settings(TimeoutSettings())
        with serve_cut(b"HTTP/1.1 200 OK\r\n\r\n" + body) as server:
            assert client.cache_bytes(server.target) is None
