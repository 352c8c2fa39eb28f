"""The client of the store, against a server that answers byte by byte."""

import asyncio
import base64
import json

from swifttide_daemon.gateway import ConnectionPool, Rows, Unavailable
from swifttide_daemon.platform import PrintOfficeStore
from swifttide_daemon.platform._store_client import READ_SECONDS

N_PIECES = 12


def answer():
    """Return an answer with one large row."""
    value = base64.b64encode(b"v" * 200_000).decode()
    row = {"table": "t", "part": "", "key": "k", "value": value, "row_version": 7}
    body = json.dumps({"rows": [row], "row_version": 7, "now_ms": 1}).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def read_from_server(n_sent):
    """Read from a server that sends so many pieces of its answer, then nothing."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        data = answer()
        size = -(-len(data) // N_PIECES)
        for i in range(n_sent):
            writer.write(data[i * size : (i + 1) * size])
            await writer.drain()
            await asyncio.sleep(1.5 * READ_SECONDS / N_PIECES)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        store = PrintOfficeStore("127.0.0.1", port, ConnectionPool())
        found = await store.read("t", "")
        store.reconnect()
    return found


class TestLargeAnswer:
    def test_answer_that_is_on_its_way_is_awaited(self):
        """A configuration of two thousand routes comes over a narrow link and takes
        longer than a read usually may. A host that gave it up would ask again, and
        never have it.
        """
        found = asyncio.run(read_from_server(N_PIECES))
        assert isinstance(found, Rows)
        assert len(found.rows[0].value) == 200_000

    def test_answer_that_stops_is_given_up(self):
        found = asyncio.run(read_from_server(N_PIECES // 2))
        assert isinstance(found, Unavailable)
