"""Slow readers share the memory budget of a host, on loopback sockets."""

import asyncio
import socket
from types import SimpleNamespace

import pytest

from swifttide_core.buffering import MemoryBudget
from swifttide_core.forwarding import RequestLimits
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.callers import _frontend
from swifttide_daemon.gateway.callers._answer_buffers import AnswerBuffers
from swifttide_daemon.gateway.callers._frontend import Frontend

MEMORY_BYTES = 16_000_000
PIECE = bytes(65_536)
READY_BODY = bytes(300_000)
SHORT_BODY = bytes(60_000)
N_PIECES = 200
REQUEST = b"GET /PATH HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: h\r\n"


class FakeDialect:
    """Names each request after its path."""

    def read_request(self, method, target, fields, body, now):
        return SimpleNamespace(id=target.decode(), body=body)

    def refusal_fields(self, request_id, retry_after):
        return [(b"retry", str(retry_after).encode())]


class Host:
    """A frontend whose handler answers with a stream or with a ready body."""

    def __init__(self, memory_bytes, log):
        self.metrics = GatewayMetrics("h1", "zone-a")
        self.budget = MemoryBudget(memory_bytes) if memory_bytes else None
        self.buffers = AnswerBuffers(self.budget, None, self.metrics, log)
        self.front = Frontend(
            FakeDialect(),
            RequestLimits,
            lambda: self.may_keep_alive,
            self.handle,
            log,
            self.buffers,
        )
        self.may_keep_alive = False
        self.most_held_bytes = 0
        self.n_pieces = {}
        self.n_ended = 0

    async def handle(self, req, channel):
        if req.id.startswith("/ready"):
            for n_bytes in range(len(PIECE), len(READY_BODY), len(PIECE)):
                await channel.hold_collected(n_bytes)
                self.observe()
            await channel.hold_collected(0)
            await channel.answer(200, [], READY_BODY)
        elif req.id == "/short":
            await channel.answer(200, [], SHORT_BODY)
        else:
            await channel.start(200, [], None)
            for n in range(N_PIECES):
                await channel.write(PIECE)
                self.n_pieces[req.id] = n + 1
                self.observe()
            await channel.finish()
        self.observe()
        self.n_ended += 1

    def observe(self):
        self.buffers.refresh()
        self.most_held_bytes = max(self.most_held_bytes, self.buffers.held_bytes)

    async def connect(self, path, request=REQUEST, buffer_bytes=8_192):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, ("127.0.0.1", self.port))
        await loop.sock_sendall(sock, request.replace(b"PATH", path))
        return sock

    async def read(self, path, pause_seconds=0.0):
        """Ask for a ready answer, read it and return the size of its body."""
        with await self.connect(path) as sock:
            return await read_body(sock, 16_384, pause_seconds)


async def read_body(sock, n_bytes, pause_seconds):
    """Read an answer piece by piece and return the size of its body."""
    loop = asyncio.get_running_loop()
    answer = b""
    while data := await loop.sock_recv(sock, n_bytes):
        answer += data
        await asyncio.sleep(pause_seconds)
    return len(answer.partition(b"\r\n\r\n")[2])


@pytest.fixture
def run_as_usual(log):
    """Run a scenario at a host."""

    def run(scenario, memory_bytes=MEMORY_BYTES):
        async def main():
            host = Host(memory_bytes, log)
            host.port = await host.front.listen("127.0.0.1", 0)
            async with asyncio.timeout(30):
                await scenario(host)
            host.front.stop_accepting()
            await until(lambda: not host.front._connections)
            return host

        return asyncio.run(main())

    return run


@pytest.fixture
def run(monkeypatch, run_as_usual):
    """Run a scenario at a host without the kernel's time-out of stalled callers."""
    monkeypatch.setattr(_frontend, "set_socket_options", lambda sock: None)
    return run_as_usual


async def check_progress(host):
    """Check what callers have taken, as a host does all the time."""
    while True:
        await asyncio.sleep(0.15)
        host.front.check_progress()


async def until(condition):
    while not condition():
        await asyncio.sleep(0.01)


class TestSlowReaders:
    def test_stalled_readers_do_not_hold_back_others(self, run, caplog):
        # Callers that stop reading fill the memory: the process would be killed, or
        # the answers of all others would stop.
        async def scenario(host):
            stalled = [await host.connect(b"stalled%d" % n) for n in range(3)]
            await until(lambda: host.budget.held_bytes > 0.7 * host.budget.total_bytes)
            slow = asyncio.create_task(host.read(b"ready-slow", 0.06))
            ready = [await host.read(b"ready") for _ in range(10)]
            assert ready == [len(READY_BODY)] * 10
            assert await slow == len(READY_BODY)
            given_up = b'_given_up_total{host="h1",zone="zone-a"} 3'
            await until(lambda: given_up in host.metrics.render()[0])
            for sock in stalled:
                sock.close()
            await until(lambda: not host.buffers.held_bytes)

        host = run(scenario)
        assert host.most_held_bytes <= host.budget.total_bytes
        lines = [
            r.swifttide_fields for r in caplog.records if r.message == "reader_given_up"
        ]
        assert {x["request_id"] for x in lines} == {f"/stalled{n}" for n in range(3)}
        assert all(x["held_bytes"] > 0 and x["seconds"] >= 1.0 for x in lines)

    def test_host_reads_on_while_the_budget_lasts(self, run):
        # A target cuts off an answer that the host doesn't read.
        async def scenario(host):
            with await host.connect(b"stalled"):
                await until(lambda: host.n_pieces.get("/stalled", 0) > 30)

        run(scenario)

    def test_ready_answer_frees_its_target_at_once(self, run):
        # A deadline must not cut off an answer that its caller is still reading.
        async def scenario(host):
            with await host.connect(b"ready"):
                await until(lambda: host.n_ended)

        run(scenario)

    def test_without_a_limit_each_connection_waits_for_its_caller(self, run):
        async def scenario(host):
            with await host.connect(b"stalled"):
                await asyncio.sleep(0.3)
                before = host.n_pieces["/stalled"]
                await asyncio.sleep(0.3)
                assert host.n_pieces["/stalled"] == before < N_PIECES

        run(scenario, 0)


class TestReadersOfLittle:
    """A window smaller than a segment: the kernel's time-out counts all the while."""

    @pytest.mark.parametrize("memory_bytes", [0, MEMORY_BYTES])
    def test_reader_that_is_slow_gets_its_whole_answer(
        self, run_as_usual, memory_bytes
    ):
        """Guards against a reset after two seconds of steady but slow reading."""

        async def scenario(host):
            checks = asyncio.create_task(check_progress(host))
            # A window that is large at first lets the host form large segments.
            with await host.connect(b"ready", buffer_bytes=20_000) as sock:
                assert await read_body(sock, 600, 0.01) == len(READY_BODY)
            checks.cancel()

        run_as_usual(scenario, memory_bytes)

    def test_reader_that_takes_nothing_is_given_up(self, run_as_usual, caplog):
        """Guards against connections of callers that are kept for good."""

        async def scenario(host):
            checks = asyncio.create_task(check_progress(host))
            with await host.connect(b"stalled"):
                await until(lambda: host.front._connections)
                await until(lambda: not host.front._connections)
            checks.cancel()

        run_as_usual(scenario, 0)
        assert "reader_given_up" in [r.message for r in caplog.records]


class TestStop:
    @pytest.mark.parametrize("may_keep_alive", [False, True])
    def test_waits_until_an_answer_has_arrived(self, run, may_keep_alive):
        """Guards against the end of an answer that is lost with its host's process."""

        async def scenario(host):
            host.may_keep_alive = may_keep_alive
            with await host.connect(b"short") as sock:
                await until(lambda: host.n_ended)
                host.front.begin_stop(asyncio.get_running_loop().time() + 20.0)
                host.front.stop_accepting()
                host.front.end_reuse()
                await asyncio.sleep(0.2)
                assert host.front.n_busy == 1
                host.front.close_idle()
                reading = asyncio.create_task(read_body(sock, 16_384, 0.0))
                await until(lambda: not host.front.n_busy)
                host.front.close_idle()
                assert await reading == len(SHORT_BODY)

        run(scenario)


class TestBodies:
    def test_bodies_that_arrive_slowly_are_counted(self, run, monkeypatch):
        # Only whole bodies were counted, so that many slow callers together exceeded
        # the limit.
        monkeypatch.setattr(_frontend, "MAX_BUFFERED_BYTES", 150_000)

        async def scenario(host):
            loop = asyncio.get_running_loop()
            request = POST + b"Content-Length: 100000\r\n\r\n" + bytes(99_999)
            socks = [await host.connect(b"", request) for _ in range(2)]
            async with asyncio.timeout(2):
                found, _ = await asyncio.wait(
                    [asyncio.create_task(loop.sock_recv(s, 4_096)) for s in socks],
                    return_when=asyncio.FIRST_COMPLETED,
                )
            assert b"host_full" in found.pop().result()
            for sock in socks:
                sock.close()
            await until(lambda: host.front.has_room_for_bodies)

        run(scenario, 0)

    def test_released_after_a_malformed_request(self, run):
        # Bytes of refused requests would lower the limit for good.
        async def scenario(host):
            loop = asyncio.get_running_loop()
            head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
            with await host.connect(b"", head + b"3\r\nabc\r\nnonsense\r\n") as sock:
                assert b" 400 " in await loop.sock_recv(sock, 4_096)
            assert host.front._body_bytes == 0

        run(scenario)
