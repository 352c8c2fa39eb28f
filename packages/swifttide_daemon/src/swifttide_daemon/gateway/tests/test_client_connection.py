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
