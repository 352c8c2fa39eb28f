"""Answers that are cut in their head or in their body."""

import time

import pytest
import urllib3

from swifttide_daemon.targets import ServiceClient, TargetFailure
from swifttide_daemon.transport import make_connection_pool, read_body
from swifttide_daemon.transport.tests._cutting_server import (
    CUT_ANSWERS,
    IN_CHUNKS,
    WITH_LENGTH,
    serve_cut,
)

KEPT = WITH_LENGTH.replace(b"found", b"first")
MAX_BYTES = 1000


def read(pool, server):
    timeout = urllib3.Timeout(connect=1.0, read=2.0)
    url = server.target.url
    answer = pool.request("GET", url, timeout=timeout, preload_content=False)
    return read_body(answer, time.monotonic() + 2.0, MAX_BYTES)


@pytest.mark.parametrize("reset", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize("place", CUT_ANSWERS)
class TestCutAnswers:
    def test_cut_answer_is_an_error(self, place, reset):
        """Guards against an empty or short body that is taken for the whole one."""
        with serve_cut(CUT_ANSWERS[place], reset=reset) as server:
            with pytest.raises((urllib3.exceptions.HTTPError, OSError)):
                read(make_connection_pool(), server)
            assert len(server.requests) == 1

    def test_cut_second_answer_of_a_connection_is_an_error(self, place, reset):
        """Guards against a second answer that is completed from the first one."""
        with serve_cut(KEPT, CUT_ANSWERS[place], reset=reset) as server:
            pool = make_connection_pool()
            assert read(pool, server) == b"first"
            with pytest.raises((urllib3.exceptions.HTTPError, OSError)):
                read(pool, server)
            assert len(server.requests) == 2

    @pytest.mark.parametrize("reuse", [False, True], ids=["fresh", "kept"])
    def test_service_call_fails_once(self, place, reset, reuse):
        """Guards against a call that is answered without its answer, or sent twice."""
        client = ServiceClient(make_connection_pool(), 1.0)
        with serve_cut(CUT_ANSWERS[place], reset=reset) as server:
            with pytest.raises(TargetFailure) as failure:
                client.send(server.target, "p", b"", {"X-Request-Id": "r1"}, 2.0, reuse)
            assert failure.value.verdict == "may_have_run"
            assert len(server.requests) == 1


class TestWholeAnswers:
    @pytest.mark.parametrize(
        ("answer", "body"),
        [
            (WITH_LENGTH, b"found"),
            (IN_CHUNKS, b"found that more"),
            (b"HTTP/1.1 200 OK\r\n\r\nfound", b"found"),
            (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
        ],
        ids=["length", "chunks", "end_of_connection", "no_body"],
    )
    def test_whole_answer_is_read(self, answer, body):
        with serve_cut(answer) as server:
            assert read(make_connection_pool(), server) == body

    def test_answer_without_length_that_is_reset_is_an_error(self):
        """Guards against the part before a reset that is taken for the whole."""
        answer = b"HTTP/1.1 200 OK\r\n\r\nfou"
        with (
            serve_cut(answer, reset=True) as server,
            pytest.raises((urllib3.exceptions.HTTPError, OSError)),
        ):
            read(make_connection_pool(), server)
