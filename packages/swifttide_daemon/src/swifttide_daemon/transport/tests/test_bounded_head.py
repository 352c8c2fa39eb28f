"""Tests of heads of answers that are read within bounds."""

import threading
import time

import pytest
import urllib3

from swifttide_daemon.transport import make_connection_pool
from swifttide_daemon.transport.tests._endless_server import serve

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
READ_SECONDS = 0.5


def request(target, **more):
    timeout = urllib3.Timeout(connect=1.0, read=READ_SECONDS)
    pool = make_connection_pool()
    return pool.request("GET", target.url, timeout=timeout, **more)


class TestHeadsOfAnswers:
    @pytest.mark.parametrize(
        ("head", "endless", "gap_seconds"),
        [
            (b"", CONTINUE, 0.02),
            (b"", CONTINUE * 1_000, 0.0),
            (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x", 0.02),
            (b"HTTP/1.1 200 OK\r\n", b"X-More: y\r\n", 0.02),
            (b"", b"x", 0.02),
        ],
        ids=["drip", "flood", "line", "lines", "junk"],
    )
    def test_head_without_end_is_an_error(self, head, endless, gap_seconds):
        """Guards against a server that holds a thread of the host for ever."""
        errors = []

        def request_and_record():
            with serve(head, endless, gap_seconds) as target:
                try:
                    request(target)
                except urllib3.exceptions.HTTPError as exc:
                    errors.append(exc)

        thread = threading.Thread(target=request_and_record, daemon=True)
        thread.start()
        thread.join(20 * READ_SECONDS)
        assert len(errors) == 1

    def test_informational_heads_are_skipped(self):
        with serve(CONTINUE * 5 + HEAD + b"found", b" ", 0.02) as target:
            assert request(target).data == b"found"

    def test_body_may_take_longer_than_its_head(self):
        """Guards against streams that end with the time for their heads."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        with serve(head, b"1\r\nx\r\n", 0.1) as target:
            answer = request(target, preload_content=False)
            began_at = time.monotonic()
            pieces = answer.stream()
            while time.monotonic() < began_at + 2 * READ_SECONDS:
                assert next(pieces) == b"x"
            answer.close()
