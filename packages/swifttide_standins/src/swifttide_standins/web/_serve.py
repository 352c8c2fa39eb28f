"""Start-up of a stand-in on loopback."""

import json
import os
import signal
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from cheroot import wsgi

from swifttide_standins.web._app import App
from swifttide_standins.web._gateway import ClosingGateway
from swifttide_standins.web._serve_options import ServeOptions

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 64 * 2**20
MAX_HEADER_BYTES = 64 * 2**10
IDLE_SECONDS = 300.0
"""Longer than any client's pool keeps a connection, so that a stand-in never
closes one just as a request comes over it; that would look like a lost answer."""
MAX_IDLE_CONNECTIONS = 10_000
BACKLOG = 512


class Server:
    """A stand-in that listens, for use inside a test's process or as a program.

    Parameters
    ----------
    app : App
        What it serves.
    opts : ServeOptions
        Where it listens.

    Attributes
    ----------
    port : int
        Port that it listens on.
    """

    def __init__(self, app: App, opts: ServeOptions) -> None:
        self._server = wsgi.Server(
            (LOOPBACK, opts.port),
            app,
            numthreads=opts.threads,
            request_queue_size=BACKLOG,
            timeout=IDLE_SECONDS,
            shutdown_timeout=1,
        )
        self._server.gateway = ClosingGateway
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.max_request_header_size = MAX_HEADER_BYTES
        self._server.keep_alive_conn_limit = MAX_IDLE_CONNECTIONS
        self._server.prepare()
        self.port = self._server.bind_addr[1]

    @property
    def url(self) -> str:
        """Base URL, by IP number."""
        return f"http://{LOOPBACK}:{self.port}"

    def run(self) -> None:
        """Serve until `stop`."""
        self._server.serve()

    def stop(self) -> None:
        """Stop listening and end the worker threads."""
        self._server.stop()


@contextmanager
def running(app: App, threads: int = 8) -> Iterator[Server]:
    """Serve in a thread of this process; for tests."""
    server = Server(app, ServeOptions(threads=threads))
    thread = threading.Thread(target=server.run)
    thread.start()
    try:
        yield server
    finally:
        server.stop()
        thread.join()


def serve(app: App, opts: ServeOptions) -> None:
    """Serve until SIGTERM or SIGINT, after telling the port.

    Prints ``{"port": N}`` on standard output and into ``opts.ready_file``.
    """
    server = Server(app, opts)
    signal.signal(signal.SIGTERM, _exit)
    signal.signal(signal.SIGINT, _exit)
    line = json.dumps({"port": server.port})
    if opts.ready_file:
        Path(opts.ready_file).write_text(line, encoding="utf-8")
    print(line, flush=True)
    server.run()


def _exit(_signum: int, _frame: object) -> None:
    # A stand-in keeps nothing, and a thread inside a hang would hold up a normal
    # exit for good.
    os._exit(0)
