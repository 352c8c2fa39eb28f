"""Answers that callers read slowly while their host stops as planned."""

import asyncio
import signal
import socket

import pytest

from swifttide_standins.print_office import Runner
from tests.e2e._gateway_fleet import GatewayFleet

BODY = bytes(400_000)
RECEIVE_BUFFER_BYTES = 20_000
READ_BYTES = 2_000
READ_PAUSE_SECONDS = 0.02
GRACE_SECONDS = 12
"""Three times what the answer takes to read."""

ROUTE = {
    "name": "lookup",
    "host": "shop.example",
    "prefix": "/lookup/",
    "type": "idempotent",
    "timeout_ms": 2000,
    "latency_target_ms": 200,
    "priority": 0,
    "service": "app",
    "max_attempts": 1,
}
DOCUMENT = {"version": 1, "routes": [ROUTE], "services": [{"name": "app"}]}
REQUEST = (
    b"POST /lookup/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"Swifttide-Attempt-Id: a1\r\nSwifttide-Deadline-Ms: 2000\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class SlowCaller:
    """Asks for one answer and reads it piece by piece."""

    def __init__(self, address):
        self.received = b""
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.setblocking(False)
        self._address = address

    async def run(self):
        """Return once the host has closed the connection."""
        loop = asyncio.get_running_loop()
        with self._socket as sock:
            await loop.sock_connect(sock, self._address)
            await loop.sock_sendall(sock, REQUEST)
            while data := await loop.sock_recv(sock, READ_BYTES):
                self.received += data
                await asyncio.sleep(READ_PAUSE_SECONDS)


async def play(directory, signalled_after_bytes, memory_mb):
    """Stop the host of a caller that has got some bytes; return all that it got."""
    fleet = GatewayFleet(directory, 1, ("za",), DOCUMENT, GRACE_SECONDS, memory_mb)
    runner = Runner("i-1", "app", "za")
    runner.script = runner.body(BODY)
    await runner.server.start()
    try:
        fleet.store.rows.put("servers", runner.id, runner.entry())
        await fleet.start()
        (ip,) = fleet.hosts
        caller = SlowCaller(fleet.caller_address(ip))
        reading = asyncio.create_task(caller.run())
        while len(caller.received) < signalled_after_bytes and not reading.done():
            await asyncio.sleep(0.01)
        process = fleet.signal(ip, signal.SIGTERM)
        await asyncio.wait([reading])
        assert await asyncio.to_thread(process.wait, GRACE_SECONDS) == 0
        return caller.received
    finally:
        await fleet.stop()
        await runner.server.stop()


class TestSlowReadersAtAStop:
    @pytest.mark.parametrize("memory_mb", [0, 170])
    @pytest.mark.parametrize("signalled_after_bytes", [20_000, 100_000])
    def test_answer_arrives_whole(self, tmp_path, signalled_after_bytes, memory_mb):
        """Guards against the end of an answer that is lost with its host's process."""
        received = asyncio.run(play(tmp_path, signalled_after_bytes, memory_mb))
        assert received.count(b"\0") == len(BODY)
