"""Answers of other hosts that can't be read."""

import pytest

from swifttide_core.verdicts import Verdict
from swifttide_daemon.peers import PeerClient
from swifttide_daemon.transport import make_connection_pool
from swifttide_daemon.transport.tests._cutting_server import CUT_ANSWERS, serve_cut

DEPTH = 100_000
UNREADABLE = {
    "empty": b"",
    "deep_array": b"[" * DEPTH + b"]" * DEPTH,
    "deep_object": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "out_of_range": b"1e400",
    "not_a_number": b"NaN",
    "surrogate": b'"\\ud800"',
    "no_text": b"\xff",
}


class Proof:
    def headers(self, method, path, body):
        return {}


def call(server):
    client = PeerClient(make_connection_pool(), Proof(), 1.0, 2.0)
    return client.call(server.target.url, "POST", "/peer/v1/views", {})


@pytest.mark.parametrize("status", [b"200 OK", b"503 No"])
@pytest.mark.parametrize("kind", UNREADABLE)
def test_unreadable_answer_is_a_refusal(kind, status):
    """Guards against a thread that ends for what another host answers."""
    head = b"HTTP/1.1 " + status + b"\r\n\r\n"
    with serve_cut(head + UNREADABLE[kind]) as server:
        answer = call(server)
    assert answer.error.verdict is Verdict.MAY_HAVE_RUN


@pytest.mark.parametrize("reset", [False, True], ids=["end", "reset"])
@pytest.mark.parametrize("place", CUT_ANSWERS)
def test_cut_answer_is_a_refusal(place, reset):
    """Guards against an answer of another host that is taken for a shorter one."""
    with serve_cut(CUT_ANSWERS[place], reset=reset) as server:
        answer = call(server)
    assert answer.error.verdict is Verdict.MAY_HAVE_RUN
