"""Tests of reading answers of services and engines within bounds."""

import time

import pytest

from swifttide_core.verdicts import Verdict
from swifttide_daemon.targets import EngineClient, ServiceClient, TargetFailure
from swifttide_daemon.targets import _service_client as service_client
from swifttide_daemon.transport import make_connection_pool
from swifttide_daemon.transport.tests._endless_server import serve

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class TestServices:
    @pytest.mark.parametrize(
        ("endless", "gap_seconds"),
        [
            (b"1\r\nx\r\n", 0.02),
            (b"1\r\nx\r\n" * 10_000, 0.0),
            (b"10000\r\n" + b"x" * 65_536 + b"\r\n", 0.0),
        ],
        ids=["drip", "tiny", "large"],
    )
    def test_answer_without_end_is_a_failure(self, monkeypatch, endless, gap_seconds):
        """Guards against a service that holds a thread of the host for ever."""
        monkeypatch.setattr(service_client, "MAX_ANSWER_BYTES", 1_000_000)
        client = ServiceClient(make_connection_pool(), 1.0)
        fields = {"X-Request-Id": "r"}
        with (
            serve(HEAD, endless, gap_seconds) as target,
            pytest.raises(TargetFailure) as caught,
        ):
            client.send(target, "x", b"", fields, 0.5, False)
        assert caught.value.verdict is Verdict.MAY_HAVE_RUN

    def test_whole_answer_is_returned(self):
        client = ServiceClient(make_connection_pool(), 1.0)
        whole = HEAD + b"5\r\nfound\r\n0\r\n\r\n"
        with serve(whole, b" ", 0.02) as target:
            answer = client.send(target, "x", b"", {"X-Request-Id": "r"}, 2.0, False)
        assert (answer.status, answer.body) == (200, b"found")


class TestEngines:
    @pytest.mark.parametrize(
        "endless", [b"1\r\nx\r\n" * 10_000, b"10000\r\n" + b"x" * 65_536 + b"\r\n"]
    )
    def test_event_without_end_is_a_failure(self, endless):
        """Guards against an engine that fills the memory of the host."""
        client = EngineClient(make_connection_pool(), 1.0, 2.0)
        with serve(HEAD, endless) as target:
            events = client.chat(
                target, "r", {}, {}, time.monotonic() + 5.0, lambda: True
            )
            with pytest.raises(TargetFailure, match="without end"):
                list(events)
