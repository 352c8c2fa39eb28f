"""Tests of malformed and hostile input, sent as raw bytes to a listening port."""

import json
import socket
from types import SimpleNamespace

import pytest

from swifttide_core.verdicts import Reason, Refusal
from swifttide_daemon.settings import LimitSettings
from swifttide_daemon.web import App, Response, Route, WebServer

MAX_BODY = 4096
LIMITS = LimitSettings(
    max_body_bytes=MAX_BODY,
    max_header_bytes=2048,
    max_connections=4,
    idle_seconds=1,
    caller_threads=2,
)


def start(limits=LIMITS, before_body=None):
    """Start a server whose application records the bodies that reach it."""
    seen = []

    def echo(req):
        seen.append((req.path, req.body))
        return Response.from_json({"path": req.path, "n": len(req.body)})

    def leave(req):
        return Response(503, b"", (("Connection", "close"),))

    def break_off(req):
        def pieces():
            yield b"first"
            raise ZeroDivisionError

        return Response(200, pieces())

    routes = [Route("POST", "/echo", echo), Route("GET", "/smuggled", echo)]
    routes.append(Route("GET", "/leave", leave))
    routes.append(Route("GET", "/broken", break_off))
    app = App(routes, limits.max_body_bytes, before_body=before_body)
    web = WebServer.from_settings("127.0.0.1", 0, app, limits.caller_threads, limits)
    web.start()
    return SimpleNamespace(web=web, seen=seen)


@pytest.fixture(scope="module")
def running():
    found = start()
    yield found
    found.web.stop()


@pytest.fixture
def server(running):
    running.seen.clear()
    return running


def connect(server):
    sock = socket.create_connection(("127.0.0.1", server.web.port), timeout=10)
    sock.settimeout(10)
    return sock


def receive_whole(sock):
    """Read one echo response completely; head and body may arrive separately."""
    received = b""
    while not received.endswith(b"}"):
        received += sock.recv(4096)
    return received


def exchange(server, data):
    """Send bytes and return all that is received until the server closes."""
    with connect(server) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        received = b""
        while True:
            try:
                chunk = sock.recv(65536)
            except ConnectionResetError:
                return received
            if not chunk:
                return received
            received += chunk


def request(*headers, body=b"", line="POST /echo HTTP/1.1"):
    head = "\r\n".join([line, "Host: h", *headers])
    return head.encode("latin-1") + b"\r\n\r\n" + body


SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = "Transfer-Encoding: chunked"


class TestFraming:
    """Tests against request smuggling.

    The load balancer between callers and host shares its connections among callers.
    Where balancer and host disagree on the end of a request, the rest of its bytes
    runs as a request of its own, on behalf of the next caller.
    """

    @pytest.mark.parametrize(
        "headers, body",
        [
            (["Content-Length: 5", CHUNKED], b"0\r\n\r\n" + SMUGGLED),
            (["Content-Length: 5", "Content-Length: 0"], b"hello" + SMUGGLED),
            (["Content-Length: +5"], b"hello" + SMUGGLED),
            (["Content-Length: 0_5"], b"hello" + SMUGGLED),
            (["Content-Length: -5"], SMUGGLED),
            (["Content-Length: 5, 5"], b"hello" + SMUGGLED),
            (["Content-Length : 5"], b"hello" + SMUGGLED),
            (["Content_Length: 5"], b"hello" + SMUGGLED),
            ([" Content-Length: 5"], b"hello" + SMUGGLED),
            (["X: y", " z"], SMUGGLED),
            (["X: y\nContent-Length: 5"], b"hello" + SMUGGLED),
            (["X: y\x00"], SMUGGLED),
            (["Transfer-Encoding: xchunked"], b"0\r\n\r\n" + SMUGGLED),
            (["Transfer-Encoding: chunked, chunked"], b"0\r\n\r\n" + SMUGGLED),
            ([CHUNKED, "Transfer-Encoding: identity"], b"0\r\n\r\n" + SMUGGLED),
            (["no colon"], SMUGGLED),
            (["Authorization: Bearer a", "Authorization: Bearer b"], SMUGGLED),
            (["Swifttide-Program: a", "Swifttide-Program: b"], SMUGGLED),
            ([f"X-{i}: y" for i in range(101)], SMUGGLED),
        ],
    )
    def test_ambiguous_headers_are_refused(self, server, headers, body):
        answer = exchange(server, request(*headers, body=body))
        assert answer.startswith(b"HTTP/1.1 400")
        assert b"Swifttide-Verdict: not_run" in answer
        assert answer.count(b"HTTP/1.1") == 1
        assert server.seen == []

    @pytest.mark.parametrize(
        "body",
        [
            b"+5\r\nhello\r\n0\r\n\r\n",
            b"0x5\r\nhello\r\n0\r\n\r\n",
            b"-1\r\nhello\r\n0\r\n\r\n",
            b"5\nhello\r\n0\r\n\r\n",
            b"5\r\nhelloXX0\r\n\r\n",
            b"5\r\nhello\r\n0\r\nX: trailer\r\n\r\n",
            b"5\r\nhel",
            b"5" * 1000,
            b"5;" + b"x" * 1000,
            b"FFFFFFFF\r\n" + b"x" * 100,
        ],
    )
    def test_malformed_chunks_end_the_connection(self, server, body):
        answer = exchange(server, request(CHUNKED, body=body + SMUGGLED))
        assert answer.startswith((b"HTTP/1.1 400", b"HTTP/1.1 413"))
        assert b"Swifttide-Verdict: not_run" in answer
        assert answer.count(b"HTTP/1.1") == 1
        assert server.seen == []

    def test_chunked_http_1_0_request_is_refused(self, server):
        line = "POST /echo HTTP/1.0"
        answer = exchange(server, request(CHUNKED, body=SMUGGLED, line=line))
        assert b" 400 " in answer
        assert server.seen == []

    def test_plain_requests_share_a_connection(self, server):
        first = request("Content-Length: 5", body=b"hello")
        second = request(CHUNKED, body=b"5;x=y\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n")
        answer = exchange(server, first + second + SMUGGLED)
        assert answer.count(b"HTTP/1.1 200") == 3
        assert [b for _, b in server.seen] == [b"hello", b"helloyou", b""]

    def test_connection_close_drops_pipelined_request(self, server):
        """A stopping host answers ``Connection: close``, but the load balancer may
        already have sent the next request.
        """
        line = "GET /leave HTTP/1.1"
        answer = exchange(server, request(line=line) + SMUGGLED)
        assert answer.count(b"HTTP/1.1") == 1
        assert server.seen == []

    def test_repeatable_headers(self, server):
        headers = ["Accept: a", "Accept: b", "Content-Length: 0"]
        assert b" 200 " in exchange(server, request(*headers))


class TestLimits:
    def test_long_headers(self, server):
        answer = exchange(server, request("X: " + "y" * 4096))
        assert b" 413 " in answer
        assert b"not_run" in answer

    def test_long_request_line(self, server):
        line = "POST /" + "y" * 4096 + " HTTP/1.1"
        assert b" 414 " in exchange(server, request(line=line))

    def test_long_declared_body(self, server):
        answer = exchange(server, request(f"Content-Length: {MAX_BODY + 1}"))
        assert b" 413 " in answer
        assert json.loads(answer.partition(b"\r\n\r\n")[2])["verdict"] == "not_run"

    def test_long_chunked_body(self, server):
        body = b"%x\r\n%s\r\n" % (2048, b"x" * 2048) * 3
        answer = exchange(server, request(CHUNKED, body=body))
        assert b" 400 " in answer or b" 413 " in answer
        assert server.seen == []

    def test_truncated_body_is_refused(self, server):
        answer = exchange(server, request("Content-Length: 50", body=b"half"))
        assert b" 400 " in answer
        assert server.seen == []

    def test_silent_connections_take_no_thread(self, server):
        """A load balancer opens connections before it needs them. If each occupied a
        thread, as many idle connections as there are threads would block the host.
        """
        silent = [connect(server) for _ in range(LIMITS.caller_threads)]
        answer = exchange(server, request("Content-Length: 2", body=b"hi"))
        assert b" 200 " in answer
        for sock in silent:
            sock.close()

    def test_slow_headers_are_cut_off_at_deadline(self, server):
        """A caller that sends single bytes at short intervals never runs into the
        timeout of a read, and could occupy a thread without limit.
        """
        with connect(server) as sock:
            sock.sendall(b"POST /echo HTTP/1.1\r\nX: ")
            sock.settimeout(0.2)
            received = None
            for _ in range(100):
                try:
                    sock.sendall(b"y")
                    received = sock.recv(4096)
                    break
                except TimeoutError:
                    continue
                except (BrokenPipeError, ConnectionResetError):
                    received = b""
                    break
            assert received is not None
            assert received == b"" or b"not_run" in received

    def test_idle_connection_is_closed(self, server):
        with connect(server) as sock:
            assert sock.recv(10) == b""

    def test_too_many_connections(self):
        """A client leaks connections. The host must serve the connections below the
        limit and refuse the others with the verdict that nothing was run.
        """
        limits = LimitSettings(max_connections=2, idle_seconds=30, caller_threads=2)
        server = start(limits)
        kept = [connect(server) for _ in range(2)]
        try:
            for sock in kept:
                sock.sendall(request("Content-Length: 2", body=b"hi"))
                assert b" 200 " in receive_whole(sock)
            refused = connect(server).recv(4096)
            assert b" 503 " in refused
            assert b"Swifttide-Verdict: not_run" in refused
            assert b"Retry-After: 1" in refused
            kept[0].sendall(request("Content-Length: 2", body=b"hi"))
            assert b" 200 " in receive_whole(kept[0])
        finally:
            for sock in kept:
                sock.close()
            server.web.stop()


class TestUnauthenticatedBodies:
    def test_long_unauthenticated_body_is_not_read(self):
        """Unauthenticated callers that send bodies of the permitted length on all
        threads at once would exhaust the host's memory before they are refused.
        """
        limits = LimitSettings(max_body_bytes=2**20, idle_seconds=5, caller_threads=2)

        def before_body(req):
            known = req.header("authorization") == "Bearer known"
            return None if known else Refusal(Reason.UNAUTHENTICATED, "no")

        server = start(limits, before_body)
        long = request("Content-Length: 1000000", body=b"only the start")
        answer = exchange(server, long)
        assert b" 401 " in answer
        assert b"Connection: close" in answer
        chunked = request(CHUNKED, body=b"5\r\nhello\r\n0\r\n\r\n" + SMUGGLED)
        assert exchange(server, chunked).count(b"HTTP/1.1") == 1
        assert server.seen == []
        short = request("Content-Length: 2", body=b"hi")
        assert b" 200 " in exchange(server, short)
        body = b"x" * 100_000
        known = ("Authorization: Bearer known", "Content-Length: 100000")
        assert b" 200 " in exchange(server, request(*known, body=body))
        server.web.stop()


class TestFailingAnswer:
    def test_fault_within_a_stream_is_logged(self, server, caplog):
        """The iterator of a response fails after its first chunk. The caller gets a
        truncated response; without a log record the cause would be lost.
        """
        answer = exchange(server, request(line="GET /broken HTTP/1.1"))
        assert b"first" in answer
        assert not answer.endswith(b"0\r\n\r\n")
        (record,) = caplog.records
        assert record.getMessage() == "connection_failed"
        assert record.exc_info[0] is ZeroDivisionError


class TestMalformedInput:
    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\r\n" * 5,
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
            b"GET\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"get /smuggled HTTP/1.1\r\n\r\n",
            b"GET /smuggled\x00 HTTP/1.1\r\n\r\n",
            b"GET //[ HTTP/1.1\r\n\r\n",
            b"CONNECT h:1 HTTP/1.1\r\n\r\n",
            b"GET http://other/smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
            bytes(range(256)) * 4,
        ],
    )
    def test_malformed_input_reaches_no_handler(self, server, data):
        answer = exchange(server, data)
        assert b" 200 " not in answer
        assert server.seen == []

    def test_refusals_repeat_no_input(self, server):
        """A malformed header contains a key. The refusal may end up in the logs of
        the caller, the load balancer and the host, so it must not quote the key.
        """
        answer = exchange(server, request("Authorization: Bearer sk-1\x00"))
        assert b"sk-1" not in answer
