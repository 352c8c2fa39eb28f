"""A server whose answers have no end."""

import contextlib
import socket
import threading
import time

from swifttide_core.documents import Target, TargetKind


@contextlib.contextmanager
def serve(head, endless, gap_seconds=0.0):
    """Run a server that sends bytes until its connection is closed."""
    server = socket.create_server(("127.0.0.1", 0))

    def run():
        with contextlib.suppress(OSError):
            conn, _ = server.accept()
            with conn:
                conn.recv(65_536)
                conn.sendall(head)
                while True:
                    conn.sendall(endless)
                    time.sleep(gap_seconds)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        url = f"http://127.0.0.1:{server.getsockname()[1]}"
        yield Target("t1", TargetKind.SERVICE, "zone-a", url, "s")
    finally:
        server.close()
    thread.join(5.0)
    assert not thread.is_alive()
