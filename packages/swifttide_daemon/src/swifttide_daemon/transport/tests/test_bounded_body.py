"""Tests of reading answers of services and engines within bounds."""

import contextlib
import threading
import time
from unittest.mock import Mock

import pytest
import urllib3

from swifttide_core.verdicts import Verdict
from swifttide_daemon.peers import PeerClient, PeerProof
from swifttide_daemon.store import PlatformClient
from swifttide_daemon.targets import EngineClient, ServiceClient, TargetFailure
from swifttide_daemon.targets import _service_client as service_client
from swifttide_daemon.transport import (
    UnboundedAnswer,
    make_connection_pool,
    read_body,
)
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


READ_SECONDS = 0.5


def ask_platform(target):
    """Read a row; return whether it is an error."""
    telemetry = Mock()
    telemetry.child_span.return_value = contextlib.nullcontext(Mock(traceparent=""))
    timeout = urllib3.Timeout(connect=1.0, read=READ_SECONDS)
    client = PlatformClient(make_connection_pool(), target.url, {}, timeout, telemetry)
    return client.read("hosts", "za/h0").is_error()


def ask_host(target):
    """Ask another host; return whether it is an error."""
    proof = PeerProof(b"secret", "h1")
    client = PeerClient(make_connection_pool(), proof, 1.0, READ_SECONDS)
    return client.call(target.url, "GET", "/x").is_error()


def ask_host_that_refuses(target):
    """Ask another host for a stream; return whether it is an error."""
    proof = PeerProof(b"secret", "h1")
    client = PeerClient(make_connection_pool(), proof, 1.0, READ_SECONDS)
    return client.stream(target.url, "/x", {}, READ_SECONDS, "").is_error()


def ask_for_load(target):
    """Ask an engine for its load; return whether there is no answer."""
    return EngineClient(make_connection_pool(), 1.0, 2.0).load(target) is None


class TestControlCalls:
    @pytest.mark.parametrize(
        ("endless", "gap_seconds"),
        [(b"1\r\nx\r\n", 0.02), (b"1\r\nx\r\n" * 10_000, 0.0)],
        ids=["drip", "tiny"],
    )
    @pytest.mark.parametrize(
        ("ask", "head"),
        [
            (ask_platform, HEAD),
            (ask_host, HEAD),
            (ask_host_that_refuses, HEAD.replace(b"200 OK", b"503 Busy")),
            (ask_for_load, HEAD),
        ],
        ids=["platform", "host", "refusal", "engine"],
    )
    def test_answer_without_end_is_an_error(self, ask, head, endless, gap_seconds):
        """Guards against a thread of the host that reads one answer for ever."""
        found = []

        def run():
            with serve(head, endless, gap_seconds) as target:
                found.append(ask(target))

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        thread.join(20 * READ_SECONDS)
        assert found == [True]

    def test_large_answer_may_take_longer_than_a_small_one(self):
        """Guards against histories that can't be read over a narrow link."""
        piece = b"10000\r\n" + b"x" * 65_536 + b"\r\n"
        with serve(HEAD + piece * 4, piece, 0.1) as target:
            answer = make_connection_pool().request(
                "GET", target.url, preload_content=False
            )
            began_at = time.monotonic()
            with pytest.raises(UnboundedAnswer, match="of over"):
                read_body(answer, began_at + 0.2, 2_000_000, 65_536.0)
        assert time.monotonic() > began_at + 2 * 0.2
