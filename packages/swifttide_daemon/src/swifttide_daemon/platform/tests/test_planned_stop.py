"""Requests on kept connections around a planned stop, over real sockets.

The hosts have 4 s to stop: they close their port after 1.5 s and end after 3 s.
"""

import asyncio

from swifttide_daemon.platform.tests._waiting import until
from swifttide_daemon.platform.tests.conftest import HOST

AFTER_PORT_CLOSED_SECONDS = 1.8
STREAM = b"id: 1"


def request(path, attempt, length=0, deadline_ms=2000):
    """Return the head of a request."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nSwifttide-Attempt-Id: {attempt}\r\n"
        f"Swifttide-Deadline-Ms: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


class Caller:
    """A connection of a caller, which is kept as long as the host keeps it."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, site):
        ip, port = site.ports[0][:2]
        return cls(*await asyncio.open_connection(ip, port))

    def send(self, data):
        self.writer.write(data)

    async def read_until(self, mark):
        async with asyncio.timeout(6.0):
            return await self.reader.readuntil(mark)

    async def read_rest(self):
        """Return the remaining bytes, to the end of the connection."""
        try:
            async with asyncio.timeout(6.0):
                return await self.reader.read(-1)
        except ConnectionResetError:
            return b"reset"
        finally:
            self.writer.close()


async def begin_stream(site, seconds, path="/check/1"):
    """Begin a stream that lasts so long on a connection that its host would keep."""
    runner = site.runners["i-1"]
    runner.script = runner.events(10, gap_seconds=seconds / 10)
    caller = await Caller.connect(site)
    caller.send(request(path, "a1"))
    head = await caller.read_until(b"\r\n\r\n")
    assert b"connection: close" not in head.lower()
    return caller


async def start_runner(site, service="engines"):
    runner = await site.add_runner("i-1", service)
    await until(lambda: site.gateways[0].beliefs.targets)
    return runner


class TestKeptConnections:
    def test_connection_ends_with_an_answer_that_began_before_the_stop(self, play):
        """Guards against a late request on a kept connection that the stop cuts."""

        async def scenario(site):
            runner = await start_runner(site)
            caller = await begin_stream(site, AFTER_PORT_CLOSED_SECONDS)
            stopped = site.stop()
            answer = await caller.read_until(b"0\r\n\r\n")
            await asyncio.sleep(0.06)
            caller.send(request("/check/1", "a2"))
            rest = await caller.read_rest()
            await stopped
            return answer, rest, [r.fields["swifttide-attempt-id"] for r in runner.ran]

        answer, rest, ran = play(scenario)
        assert b"data: d10" in answer
        assert rest in (b"", b"reset")
        assert ran == ["a1"]

    def test_request_that_arrived_during_the_answer_is_answered(self, play):
        """Guards against a request that was read and ends without an answer."""

        async def scenario(site):
            runner = await start_runner(site)
            caller = await begin_stream(site, AFTER_PORT_CLOSED_SECONDS)
            stopped = site.stop()
            caller.send(request("/check/1", "a2", deadline_ms=300))
            caller.send(request("/check/1", "a3", deadline_ms=2000))
            runner.script = runner.events(2)
            rest = await caller.read_rest()
            await stopped
            return rest, len(runner.ran)

        rest, n_ran = play(scenario)
        second = rest.partition(b"0\r\n\r\n")[2]
        assert second.startswith(b"HTTP/1.1 200")
        assert b"Connection: close" in second
        assert second.endswith(b"0\r\n\r\n")
        assert n_ran == 2

    def test_reload_during_the_stop_changes_nothing(self, play):
        """Guards against SIGHUP ending a stop early, or a request beside it."""

        async def scenario(site):
            await start_runner(site)
            caller = await begin_stream(site, AFTER_PORT_CLOSED_SECONDS)
            site.gateways[0].reload()
            stopped = site.stop()
            for _ in range(5):
                await asyncio.sleep(0.2)
                site.gateways[0].reload()
            answer = await caller.read_until(b"0\r\n\r\n")
            rest = await caller.read_rest()
            await stopped
            return answer, rest

        answer, rest = play(scenario)
        assert b"data: d10" in answer
        assert rest == b""


class TestRequestsThatAreBeingRead:
    def test_request_is_served_where_it_can_end_in_time(self, play):
        """Guards against a caller that is cut off in the middle of its request."""

        async def scenario(site):
            runner = await start_runner(site, "app")
            runner.script = runner.body(b"found")
            slow_head, slow_body = [await Caller.connect(site) for _ in range(2)]
            head = request("/lookup/1", "a1", 6, deadline_ms=500)
            slow_head.send(head[:30])
            slow_body.send(request("/lookup/1", "a2", 6, deadline_ms=500) + b"two")
            await asyncio.sleep(0.3)
            stopped = site.stop()
            # The head's time is 1 s.
            await asyncio.sleep(0.5)
            slow_head.send(head[30:] + b"one")
            await asyncio.sleep(AFTER_PORT_CLOSED_SECONDS - 0.5)
            slow_head.send(b"end")
            slow_body.send(b"end")
            answers = [await c.read_rest() for c in (slow_head, slow_body)]
            await stopped
            return answers, len(runner.ran)

        answers, n_ran = play(scenario)
        for answer in answers:
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"Connection: close" in answer
            assert b"found" in answer
        assert n_ran == 2

    def test_request_that_may_outlast_the_stop_is_refused(self, play):
        """Guards against a request that is passed on, although its host ends before."""

        async def scenario(site):
            runner = await start_runner(site, "app")
            caller = await Caller.connect(site)
            caller.send(request("/charge/1", "a1", 6) + b"one")
            await asyncio.sleep(0.2)
            stopped = site.stop()
            await asyncio.sleep(AFTER_PORT_CLOSED_SECONDS)
            caller.send(b"end")
            answer = await caller.read_rest()
            await stopped
            return answer, runner.ran

        answer, ran = play(scenario)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"host_stopping" in answer
        assert b"Retry-After: 0.000" in answer
        assert ran == []

    def test_request_that_stays_incomplete_is_refused_before_the_end(self, play):
        """Guards against a connection that ends without a word."""

        async def scenario(site):
            runner = await start_runner(site, "app")
            caller = await Caller.connect(site)
            caller.send(request("/charge/1", "a1", 6) + b"one")
            await asyncio.sleep(0.2)
            stopped = site.stop()
            answer = await caller.read_rest()
            await stopped
            return answer, runner.ran

        answer, ran = play(scenario)
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"host_stopping" in answer
        assert ran == []
