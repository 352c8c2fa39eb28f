"""Bytes that come without end, from each kind of process, beside sound requests."""

import asyncio
import logging

import h11
import pytest

from swifttide_daemon.gateway import ConnectionPool, Unavailable
from swifttide_daemon.gateway.http._bounded_reading import EVENTS_PER_TURN
from swifttide_daemon.gateway.peers import _peer_server
from swifttide_daemon.gateway.peers._peer_server import PeerServer
from swifttide_daemon.platform import PrintOfficeStore
from swifttide_daemon.platform.tests._waiting import until
from swifttide_daemon.platform.tests.conftest import HOST
from swifttide_daemon.telemetry import EventLog
from swifttide_standins.print_office import HttpServer, Reply

N_BROKEN = 4
N_SOUND = 20
DEADLINE_MS = "400"

MAX_EVENTS_PER_TURN = (N_BROKEN + 4) * EVENTS_PER_TURN
"""Parsed events in one turn of the event loop: those of the broken requests, of a sound
one at the host, and of its caller and its runner, which run on the same loop."""

MARK = b"Swifttide-Attempt-Id: ATTEMPT\r\nSwifttide-Server-Stamp: s\r\n"
STATUS = b"HTTP/1.1 200 OK\r\n"
KINDS = {
    "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "head_lines": (STATUS, b"X: y\r\n"),
    "junk": (b"", b"no answer "),
    "one_byte_chunks": (None, b"1\r\nx\r\n"),
    "tiny_events": (None, b"2\r\n\n\n\r\n"),
    "events_in_large_chunks": (None, b"1000\r\n" + b"\n\n" * 2048 + b"\r\n"),
    "small_events": (None, b"9\r\ndata: x\n\n\r\n"),
    "event_without_end": (None, b"1000\r\n" + b"x" * 4096 + b"\r\n"),
    "large_events": (None, b"1000\r\ndata: " + b"x" * 4088 + b"\n\n\r\n"),
    "extensions": (None, b"1;" + b"e" * 40 + b"\r\nx\r\n"),
    "trailers": (
        STATUS + MARK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"T: u\r\n",
    ),
    "no_length": (STATUS + MARK + b"\r\n", b"data: x\n\n"),
}


@pytest.fixture
def log():
    return EventLog(logging.getLogger("swifttide.test"))


class Turns:
    """Counts the events that h11 parses in one turn of the event loop."""

    def __init__(self, monkeypatch):
        self.most = self._count = 0
        parse = h11.Connection.next_event

        def count(http):
            self._count += 1
            return parse(http)

        monkeypatch.setattr(h11.Connection, "next_event", count)

    async def watch(self):
        while True:
            self._count = 0
            await asyncio.sleep(0)
            self.most = max(self.most, self._count)


@pytest.fixture
def turns(monkeypatch):
    return Turns(monkeypatch)


async def read_raw(site):
    """Send a request and read bytes until the connection ends, without parsing."""
    reader, writer = await asyncio.open_connection(*site.ports[0][:2])
    writer.write(
        f"GET /check/1 HTTP/1.1\r\nHost: {HOST}\r\nSwifttide-Attempt-Id: b\r\n"
        f"Swifttide-Deadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\n\r\n".encode()
    )
    answer = bytearray()
    try:
        while data := await reader.read(65_536):
            answer += data
    except ConnectionResetError:
        pass
    writer.close()
    return bytes(answer)


async def send_sound_requests(site, turns):
    """Send requests to a sound runner; return their statuses."""
    watch = asyncio.create_task(turns.watch())
    answers = [await site.send("/lookup/1") for _ in range(N_SOUND)]
    watch.cancel()
    return [a.status for a in answers]


class TestTargets:
    @pytest.mark.parametrize(
        ("kind", "gap_seconds"),
        [
            *((kind, 0.0) for kind in KINDS),
            *(
                (kind, 0.02)
                for kind in ("informational", "one_byte_chunks", "trailers")
            ),
        ],
    )
    def test_broken_target_holds_up_no_other(self, play, turns, kind, gap_seconds):
        """Guards against a target that stops its host, or keeps a connection."""
        head, endless = KINDS[kind]

        async def scenario(site):
            broken = await site.add_runner("i-1", "engines")
            broken.script = broken.without_end(endless, head, gap_seconds)
            sound = await site.add_runner("i-2", "app")
            sound.script = sound.body(b"found")
            await until(lambda: len(site.gateways[0].beliefs.targets) == 2)
            asking = [asyncio.create_task(read_raw(site)) for _ in range(N_BROKEN)]
            await until(lambda: broken.ran)
            statuses = await send_sound_requests(site, turns)
            answers = await asyncio.gather(*asking)
            await until(lambda: not broken.server._writers)
            return statuses, answers

        statuses, answers = play(scenario)
        assert statuses == [200] * N_SOUND
        for answer in answers:
            is_refused = answer.startswith(b"HTTP/1.1 50")
            assert is_refused or not answer.endswith(b"0\r\n\r\n")
        assert turns.most <= MAX_EVENTS_PER_TURN

    @pytest.mark.parametrize("status", [503, 421, 429, 400])
    def test_head_of_a_refusal_decides(self, play, status):
        """Guards against a request that waits for a body that drips, till the end."""
        head = (
            f"HTTP/1.1 {status} No\r\nSwifttide-Not-Executed: 1\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()

        async def scenario(site):
            runners = [await site.add_runner(f"i-{n}", "app") for n in range(2)]
            for runner in runners:
                runner.script = runner.body(b"found")
            await until(lambda: len(site.gateways[0].beliefs.targets) == 2)
            drips = runners[0].without_end(b"1\r\nx\r\n", head, 0.05)
            seen = []

            def drip(request):
                seen.append(request)
                return drips(request)

            runners[0].script = drip
            answers = await asyncio.gather(*(site.send("/lookup/1") for _ in range(6)))
            await until(lambda: all(r.closed.is_set() for r in seen))
            return answers, seen

        answers, seen = play(scenario)
        assert [a.status for a in answers] == [200] * 6
        assert seen


class TestCallers:
    @pytest.mark.parametrize("key", ["", "Authorization: Bearer wrong\r\n"])
    def test_body_in_tiny_chunks_is_refused(self, play, turns, key):
        """Guards against callers without a key that stop a host."""
        head = (
            f"POST /lookup/1 HTTP/1.1\r\nHost: {HOST}\r\nSwifttide-Attempt-Id: a1\r\n"
            f"{key}Transfer-Encoding: chunked\r\n\r\n"
        ).encode()

        async def send_without_end(site):
            ip, port = site.ports[0][:2]
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(head)
            try:
                while True:
                    writer.write(b"1\r\nx\r\n" * 10_000)
                    await writer.drain()
                    if reader._buffer:
                        return await reader.readuntil(b"\r\n")
            finally:
                writer.close()

        async def scenario(site):
            sound = await site.add_runner("i-2", "app")
            sound.script = sound.body(b"found")
            await until(lambda: site.gateways[0].beliefs.targets)
            sending = [
                asyncio.create_task(send_without_end(site)) for _ in range(N_BROKEN)
            ]
            statuses = await send_sound_requests(site, turns)
            return statuses, await asyncio.gather(*sending), sound.ran

        statuses, refusals, ran = play(scenario)
        assert statuses == [200] * N_SOUND
        assert all(r.startswith(b"HTTP/1.1 400") for r in refusals)
        assert len(ran) == N_SOUND
        assert turns.most <= MAX_EVENTS_PER_TURN

    def test_body_in_chunks_of_a_usual_size_is_served(self, play):
        """Guards against a bound that refuses what callers may send."""
        chunks = b"".join(b"10\r\n" + b"x" * 16 + b"\r\n" for _ in range(900))

        async def scenario(site):
            runner = await site.add_runner("i-2", "app")
            runner.script = runner.body(b"found")
            await until(lambda: site.gateways[0].beliefs.targets)
            ip, port = site.ports[0][:2]
            reader, writer = await asyncio.open_connection(ip, port)
            head = f"POST /lookup/1 HTTP/1.1\r\nHost: {HOST}\r\n"
            head += "Swifttide-Attempt-Id: a1\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head.encode() + chunks + b"0\r\n\r\n")
            line = await reader.readuntil(b"\r\n")
            writer.close()
            return line, runner.ran[0].body

        line, body = play(scenario)
        assert line.startswith(b"HTTP/1.1 200")
        assert body == b"x" * 16 * 900


class TestStoreAndHosts:
    @pytest.mark.parametrize(
        ("endless", "gap_seconds"),
        [(b"1\r\n ", 0.0), (b"1\r\n \r\n", 0.05), (b"1000\r\n" + b" " * 4096, 0.0)],
    )
    def test_answer_of_the_store_ends(self, endless, gap_seconds):
        """Guards against a call that goes on as long as its answer grows."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

        async def handle(request):
            return Reply(
                raw_before=head, endless=endless, endless_gap_seconds=gap_seconds
            )

        async def main():
            server = HttpServer(handle)
            await server.start()
            store = PrintOfficeStore("127.0.0.1", server.port, ConnectionPool())
            async with asyncio.timeout(5.0):
                found = await store.read("t", "")
            await server.stop()
            return found

        assert isinstance(asyncio.run(main()), Unavailable)

    @pytest.mark.parametrize("gap_seconds", [0.0, 0.05])
    def test_call_of_a_host_ends(self, log, monkeypatch, gap_seconds):
        """Guards against connections that stay as long as one byte comes at times."""
        monkeypatch.setattr(_peer_server, "CALL_TIMEOUT_SECONDS", 0.3)

        async def main():
            server = PeerServer(None, log)
            port = await server.listen("127.0.0.1", 0)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                b"POST /peer HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            ended = asyncio.create_task(reader.read())
            async with asyncio.timeout(5.0):
                while not ended.done():
                    writer.write(b"1\r\nx\r\n")
                    await asyncio.sleep(gap_seconds)
            await asyncio.gather(ended, return_exceptions=True)
            writer.close()

        asyncio.run(main())
