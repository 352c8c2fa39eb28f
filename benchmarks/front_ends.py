"""Two ways to wait for a target on behalf of a caller who may leave.

Load pattern: callers hold their connections open while engines generate, and some of
them leave early. ``cheroot`` gives each request a thread, and its handler learns of a
closed connection only when it writes; asyncio with ``h11`` learns of it at once.

Run with ``python -m benchmarks.front_ends``. It prints, for both, how many of the
handlers noticed within a second that their callers had left, and what a waiting
connection costs in memory.
"""

import asyncio
import resource
import socket
import subprocess
import sys
import threading
import time

N_CALLERS = 200
WAIT_SECONDS = 3.0
"""How long the target takes."""

NOTICE_SECONDS = 1.0
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class _Handlers:
    """Counts handlers that wait, and those that have learnt that nobody listens."""

    def __init__(self):
        self.waiting = 0
        self.noticed = 0


def run_cheroot(handlers: _Handlers) -> int:
    """Serve with cheroot in the background; return the port."""
    from cheroot import wsgi

    def app(environ, start_response):
        handlers.waiting += 1
        start_response("200 OK", [("Content-Type", "text/plain")])
        time.sleep(WAIT_SECONDS)
        yield b"done"

    server = wsgi.Server(
        ("127.0.0.1", 0), app, numthreads=N_CALLERS, request_queue_size=512
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    return server.bind_addr[1]


def run_asyncio(handlers: _Handlers) -> int:
    """Serve with the gateway's own front end in the background; return the port."""
    import logging

    from swifttide_core.forwarding import RequestLimits
    from swifttide_daemon.gateway.callers._frontend import Frontend
    from swifttide_daemon.platform import PrintOfficeDialect
    from swifttide_daemon.telemetry import EventLog

    ports = []
    started = threading.Event()

    async def handle(req, channel):
        handlers.waiting += 1
        try:
            await asyncio.sleep(WAIT_SECONDS)
        except asyncio.CancelledError:
            handlers.noticed += 1
            raise

    async def main():
        log = EventLog(logging.getLogger("bench"))
        dialect = PrintOfficeDialect()
        front = Frontend(dialect, RequestLimits, lambda: True, handle, log)
        ports.append(await front.listen("127.0.0.1", 0))
        started.set()
        await asyncio.Event().wait()

    threading.Thread(target=lambda: asyncio.run(main()), daemon=True).start()
    started.wait()
    return ports[0]


def measure(name: str) -> None:
    """Hold connections open, leave, and print what the server noticed."""
    handlers = _Handlers()
    serve = {"cheroot": run_cheroot, "asyncio": run_asyncio}[name]
    port = serve(handlers)
    request = REQUEST
    if name == "asyncio":
        from swifttide_daemon.platform._dialect import ATTEMPT

        request = REQUEST[:-2] + ATTEMPT + b": a\r\n\r\n"
    before = _resident_kb()
    callers = [socket.create_connection(("127.0.0.1", port)) for _ in range(N_CALLERS)]
    for caller in callers:
        caller.sendall(request)
    while handlers.waiting < N_CALLERS:
        time.sleep(0.01)
    grown = _resident_kb() - before
    for caller in callers:
        caller.close()
    time.sleep(NOTICE_SECONDS)
    print(
        f"{name}: {handlers.noticed} of {N_CALLERS} noticed within "
        f"{NOTICE_SECONDS:g} s; {grown / N_CALLERS:.1f} KB a waiting connection"
    )


def _resident_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def main() -> None:
    """Measure each in a process of its own."""
    if len(sys.argv) > 1:
        measure(sys.argv[1])
        return
    for name in ("cheroot", "asyncio"):
        command = [sys.executable, "-m", "benchmarks.front_ends", name]
        subprocess.run(command, check=True)


if __name__ == "__main__":
    main()
