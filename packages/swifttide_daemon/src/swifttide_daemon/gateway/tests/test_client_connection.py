"""Connections to targets, the store and other hosts."""

import asyncio
import time

from swifttide_daemon.gateway.http._client_connection import ClientConnection
from swifttide_daemon.gateway.http._sockets import CONNECT_TIMEOUT_SECONDS


class TestOpen:
    def test_standstill_while_connecting(self):
        """Guards against taking a target for unreachable after an own standstill."""

        async def scenario():
            server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            opening = asyncio.create_task(ClientConnection.open("127.0.0.1", port))
            await asyncio.sleep(0)
            time.sleep(CONNECT_TIMEOUT_SECONDS + 0.1)
            conn = await opening
            conn.close()
            server.close()

        asyncio.run(scenario())


class TestClose:
    def test_bytes_that_wait_in_the_kernel_are_dropped(self):
        """Guards against a request that reaches a target long after it was given up."""

        async def scenario():
            accepted = asyncio.get_running_loop().create_future()

            async def accept(reader, writer):
                writer.transport.pause_reading()
                accepted.set_result((reader, writer))
                await asyncio.sleep(10.0)

            server = await asyncio.start_server(accept, "127.0.0.1", 0, limit=1024)
            port = server.sockets[0].getsockname()[1]
            conn = await ClientConnection.open("127.0.0.1", port)
            reader, writer = await accepted
            conn.writer.write(bytes(50_000_000))
            await asyncio.sleep(0.1)
            conn.close()
            await asyncio.sleep(0.1)
            writer.transport.resume_reading()
            try:
                n_bytes = len(await reader.read(-1))
            except ConnectionResetError:
                n_bytes = None
            server.close()
            return n_bytes

        assert asyncio.run(scenario()) is None
