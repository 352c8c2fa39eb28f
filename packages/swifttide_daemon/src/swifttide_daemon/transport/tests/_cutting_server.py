"""A server that ends its connections at a given place of an answer."""

import contextlib
import socket
import struct
import threading

from swifttide_core.documents import Target, TargetKind


class CuttingServer:
    """Answers the n-th request with the n-th bytes, and then ends the connection.

    Parameters
    ----------
    answers : sequence of bytes
        All but the last one leave the connection open; the last one is repeated for
        further requests.
    reset : bool
        Whether connections end with a reset instead of their end.
    last : bytes or None
        Whole answer to all requests after the one whose connection was ended.

    Attributes
    ----------
    requests : list of bytes
        What was received, by request.
    n_connections : int
    """

    def __init__(self, answers, reset=False, last=None):
        self.answers = answers
        self.last = last
        self.reset = reset
        self.requests = []
        self.n_connections = 0
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    @property
    def target(self):
        url = f"http://127.0.0.1:{self._socket.getsockname()[1]}"
        return Target("t1", TargetKind.SERVICE, "zone-a", url, "s")

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._socket.accept()
                self.n_connections += 1
                thread = threading.Thread(target=self._serve, args=(conn,), daemon=True)
                thread.start()

    def _serve(self, conn):
        with conn, contextlib.suppress(OSError):
            self._answer(conn)

    def _answer(self, conn):
        conn.settimeout(5.0)
        while received := _read_request(conn):
            self.requests.append(received)
            n = min(len(self.requests), len(self.answers))
            if self.last is not None and len(self.requests) > n:
                conn.sendall(self.last)
                return
            conn.sendall(self.answers[n - 1])
            if n < len(self.answers):
                continue
            if self.reset:
                linger = struct.pack("ii", 1, 0)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            return

    def close(self):
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        self._thread.join(6.0)
        assert not self._thread.is_alive()


def _read_request(conn):
    received = b""
    while b"\r\n\r\n" not in received:
        piece = conn.recv(65_536)
        if not piece:
            return b""
        received += piece
    head, _, body = received.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name == b"content-length":
            length = int(value)
    while len(body) < length:
        body += conn.recv(65_536)
    return head + b"\r\n\r\n" + body


@contextlib.contextmanager
def serve_cut(*answers, reset=False, last=None):
    """Run a `CuttingServer`."""
    server = CuttingServer(answers, reset, last)
    try:
        yield server
    finally:
        server.close()


WITH_LENGTH = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nfound"
)
IN_CHUNKS = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"000a\r\nfound that\r\n5\r\n more\r\n0\r\n\r\n"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

CUT_ANSWERS = {
    "status_line": WITH_LENGTH[:7],
    "status": WITH_LENGTH[:11],
    "reason": WITH_LENGTH[:14],
    "after_status_line": WITH_LENGTH[:17],
    "field_name": WITH_LENGTH[:24],
    "field_value": WITH_LENGTH[:35],
    "length_name": WITH_LENGTH[:50],
    "length_value": b"HTTP/1.1 200 OK\r\nContent-Length: 0",
    "before_blank_line": b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
    "within_blank_line": b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r",
    "informational_only": CONTINUE,
    "after_informational": CONTINUE + WITH_LENGTH[:24],
    "length_no_body": WITH_LENGTH[:-5],
    "length_in_body": WITH_LENGTH[:-1],
    "chunks_no_body": IN_CHUNKS[:47],
    "chunk_size": IN_CHUNKS[:49],
    "chunk_size_line": IN_CHUNKS[:51],
    "chunk": IN_CHUNKS[:58],
    "end_of_chunk": IN_CHUNKS[:63],
    "second_chunk_size": IN_CHUNKS[:66],
    "final_chunk_missing": IN_CHUNKS[:-5],
}
"""Answers that aren't whole, by the place at which they are cut. Chunk sizes have
leading zeros, of which a cut leaves the size of a final chunk."""
