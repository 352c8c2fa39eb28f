"""The caller's client against a service without a daemon between them."""

import pytest

from swifttide_standins.loadgen import (
    Answered,
    Balancer,
    Broken,
    CallSpec,
    Client,
    Endpoint,
    NotConnected,
    Refused,
)
from swifttide_standins.web import App, Response, Route, running

SPEC = CallSpec.from_service("p", "billing", "charge", "k")


def refusals(*answers):
    """Return an app that gives each answer once, then 200."""
    left = list(answers)

    def call(_req):
        return left.pop(0) if left else Response(body=b"done")

    return App(
        [
            Route("GET", "/readyz", lambda _req: Response()),
            Route("POST", "/{path*}", call),
        ]
    )


def refusal(verdict, after=None):
    headers = [("Swifttide-Verdict", verdict)]
    headers += [("Retry-After", after)] if after else []
    return Response(503, b'{"reason":"queue_full"}', headers=tuple(headers))


@pytest.fixture
def outcomes():
    def call(*answers):
        with running(refusals(*answers)) as server:
            balancer = Balancer([Endpoint("h", "z", server.url)])
            record = Client(balancer, "key", "profile").call(SPEC)
            balancer.stop()
        return [a.outcome for a in record.attempts]

    return call


class TestClient:
    def test_comes_back_when_told(self, outcomes):
        got = outcomes(refusal("not_run", "0.01"), refusal("not_run", "0.01"))
        assert [type(o) for o in got] == [Refused, Refused, Answered]

    @pytest.mark.parametrize(
        "answer", [refusal("may_have_run", "0.01"), refusal("not_run")]
    )
    def test_never_repeats_unasked(self, outcomes, answer):
        """A charge may have been made. A caller that sends it again as if it hadn't
        would make the proof of at-most-once worthless.
        """
        assert [type(o) for o in outcomes(answer)] == [Refused]

    def test_no_host(self):
        client = Client(Balancer([]), "key", "profile")
        assert isinstance(client.attempt(SPEC).outcome, NotConnected)

    def test_cut_stream_is_broken(self):
        """A host dies in the middle of an answer. Taken for whole, the answer would
        lack its end without anybody noticing.
        """
        cut = Response(stream=iter([b'data: {"choices":[]}\n\n']))
        with running(refusals(cut)) as server:
            balancer = Balancer([Endpoint("h", "z", server.url)])
            turn = CallSpec.from_turn("p", "", 1, "x", 3)
            attempt = Client(balancer, "key", "profile").attempt(turn)
            balancer.stop()
        assert isinstance(attempt.outcome, Broken)
        assert attempt.outcome.begun
