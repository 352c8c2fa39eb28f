"""Relay between a host and the store, which can hold answers back or lose them."""

import asyncio
from contextlib import contextmanager


class StoreRelay:
    """Relays the connections of one host to the store.

    Parameters
    ----------
    store : RowServer

    Attributes
    ----------
    port : int
        Port at which the host reaches the store.
    """

    def __init__(self, store):
        self._store = store
        self._server = None
        self._writers = set()
        self._n_holds = 0
        self._n_cuts = 0
        self._answers_flow = asyncio.Event()
        self._answers_flow.set()
        self.port = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    @contextmanager
    def holding_answers(self):
        """Hold answers of the store back; they arrive late, with what they said."""
        self._n_holds += 1
        self._answers_flow.clear()
        try:
            yield
        finally:
            self._n_holds -= 1
            if not self._n_holds:
                self._answers_flow.set()

    @contextmanager
    def resetting(self):
        """Reset all connections, also new ones."""
        self._n_cuts += 1
        self._reset_all()
        try:
            yield
        finally:
            self._n_cuts -= 1

    async def stop(self):
        self._server.close()
        self._reset_all()

    def _reset_all(self):
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self._n_cuts:
            writer.transport.abort()
            return
        writers = {writer}
        self._writers |= writers
        copies = []
        try:
            port = self._store.server.port
            store_reader, store_writer = await asyncio.open_connection(
                "127.0.0.1", port
            )
            writers.add(store_writer)
            self._writers.add(store_writer)
            copies = [
                asyncio.ensure_future(self._copy(reader, store_writer, None)),
                asyncio.ensure_future(
                    self._copy(store_reader, writer, self._answers_flow)
                ),
            ]
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)
            self._writers -= writers
            for one in writers:
                one.transport.abort()

    async def _copy(self, reader, writer, flow):
        while data := await reader.read(65_536):
            if flow is not None:
                await flow.wait()
            writer.write(data)
            await writer.drain()
