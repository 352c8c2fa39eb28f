"""Chat streams of engines that are cut in the head or in the body."""

import time

import msgspec
import pytest

from swifttide_daemon.settings import TimeoutSettings
from swifttide_daemon.targets import EngineClient, EngineDone, TargetFailure
from swifttide_daemon.transport.tests._cutting_server import CONTINUE, serve_cut

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TEXTS = ("a", "b", "c")


def event(**fields):
    return b"data: " + msgspec.json.encode({"request_id": "r1"} | fields) + b"\n\n"


def text(index):
    return event(index=index, choices=[{"delta": {"content": TEXTS[index]}}])


DONE = event(done=True, usage={"prompt_tokens": 1, "completion_tokens": 3})


def in_chunks(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


CUT_STREAMS = {
    "status_line": HEAD[:7],
    "reason": HEAD[:14],
    "field_name": HEAD[:24],
    "field_value": HEAD[:35],
    "before_blank_line": HEAD,
    "after_informational": CONTINUE + HEAD[:24],
    "no_body": CHUNKED,
    "chunk_size": CHUNKED + b"4",
    "chunk": CHUNKED + in_chunks(text(0))[:20],
    "after_event": CHUNKED + in_chunks(text(0)),
    "within_event": CHUNKED + in_chunks(text(0) + text(1)[:9]),
    "end_without_done": CHUNKED + in_chunks(text(0)) + b"0\r\n\r\n",
    "whole_within_event": CHUNKED + in_chunks(text(0)[:9]) + b"0\r\n\r\n",
    "no_length": HEAD + b"\r\n" + text(0) + text(1)[:9],
    "length_no_body": HEAD + b"Content-Length: 900\r\n\r\n",
    "length": HEAD + b"Content-Length: 900\r\n\r\n" + text(0),
}


def chat(server):
    client = EngineClient.from_settings(TimeoutSettings())
    deadline = time.monotonic() + 3.0
    return client.chat(server.target, "r1", {}, {}, deadline, lambda: True)


@pytest.mark.parametrize("reset", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize("place", CUT_STREAMS)
class TestCutStreams:
    def test_stream_goes_on_once_where_it_was_cut(self, place, reset):
        """Guards against text that is missing, comes twice, or is run twice."""
        whole = HEAD + b"\r\n" + b"".join(map(text, range(3))) + DONE
        with serve_cut(CUT_STREAMS[place], reset=reset, last=whole) as server:
            *texts, done = chat(server)
            methods = [received.split(b" ")[0] for received in server.requests]
        assert "".join(t.text for t in texts) == "abc"
        assert isinstance(done, EngineDone)
        assert methods == [b"POST", b"GET"]

    def test_stream_that_is_never_whole_fails(self, place, reset):
        """Guards against a short text that counts as complete."""
        with serve_cut(CUT_STREAMS[place], reset=reset) as server:
            with pytest.raises(TargetFailure) as failure:
                list(chat(server))
            posts = [r for r in server.requests if r.startswith(b"POST")]
        assert failure.value.verdict == "may_have_run"
        assert len(posts) == 1


def test_stream_goes_on_over_a_new_connection():
    """Guards against a resume over a connection that its engine is about to close."""
    first = CUT_STREAMS["end_without_done"]
    rest = HEAD + b"\r\n" + text(1) + text(2) + DONE
    with serve_cut(first, rest) as server:
        *texts, _ = chat(server)
        n_connections = server.n_connections
    assert "".join(t.text for t in texts) == "abc"
    assert n_connections == 2
