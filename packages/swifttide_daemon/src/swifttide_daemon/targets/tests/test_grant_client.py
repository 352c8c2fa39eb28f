"""Tests of calls that wait for the holder of a target's queue."""

from types import SimpleNamespace

import pytest
from expression import Error, Ok

from swifttide_core.documents import Target, TargetKind
from swifttide_core.verdicts import Reason, Verdict
from swifttide_daemon.targets import (
    AcquireAnswer,
    GrantClient,
    _grant_client,
    not_holder,
)
from swifttide_daemon.targets._grant_client import (
    HOLDER_RETRY_SECONDS,
    OTHER_ZONE_HOLDER_TIMEOUT_SECONDS,
    OWN_ZONE_HOLDER_TIMEOUT_SECONDS,
)

DEADLINE_SECONDS = 60.0
TARGET = Target("e0", TargetKind.ENGINE, "za", "http://e0", "default")

REQUEST = SimpleNamespace(ticket_id="t")


class Clock:
    """Clock that advances only by sleeping."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(_grant_client, "time", clock)
    return clock


def make_client(zone, available):
    """Return a client of a zone for a target whose queue has no holder."""
    membership = SimpleNamespace(
        me=SimpleNamespace(zone=zone, host="h"),
        platform=SimpleNamespace(available=available),
        holder=lambda kind, key, zone: None,
        invalidate_views=lambda: None,
    )
    return GrantClient(membership, None, None)


def wait(zone, available):
    client = make_client(zone, available)
    return client.wait(TARGET, REQUEST, DEADLINE_SECONDS).error


class TestQueueWithoutHolder:
    def test_takeover_in_the_own_zone_is_awaited(self, clock):
        wait("za", available=True)
        assert clock.now == pytest.approx(
            OWN_ZONE_HOLDER_TIMEOUT_SECONDS, abs=HOLDER_RETRY_SECONDS
        )

    @pytest.mark.parametrize(
        ("zone", "available"), [("za", False), ("zb", True), ("zb", False)]
    )
    def test_other_targets_are_tried_soon(self, clock, zone, available):
        """Guards against calls that wait for a takeover which can't happen without the
        platform, until their callers have given up.
        """
        wait(zone, available)
        assert clock.now == pytest.approx(
            OTHER_ZONE_HOLDER_TIMEOUT_SECONDS, abs=HOLDER_RETRY_SECONDS
        )

    def test_refusal_is_not_taken_for_a_moved_program(self, clock):
        """Guards against calls that are sent to their holder again and again."""
        refusal = wait("zb", available=True)
        assert refusal.reason is Reason.NO_TARGET
        assert refusal.verdict is Verdict.NOT_RUN
        assert refusal.retry_after_seconds > 0


class TestQueueThatMoves:
    @pytest.fixture
    def client(self):
        return make_client("za", available=True)

    def test_call_that_has_waited_for_long_waits_for_the_next_holder(
        self, clock, client
    ):
        """Guards against calls that have queued for longer than a takeover may take and
        are refused as soon as their queue moves.
        """
        queued = [Ok(AcquireAnswer(False))] * 10
        moving = [Error(not_holder("target"))] * 5
        answers = iter([*queued, *moving, Ok(AcquireAnswer(True))])

        def acquire(target, req):
            clock.sleep(2.0)
            return next(answers)

        client.acquire = acquire
        assert client.wait(TARGET, REQUEST, DEADLINE_SECONDS).ok.admitted

    def test_call_that_gives_up_leaves_the_queue(self, clock, client):
        """Guards against places granted to calls that are served elsewhere."""
        withdrawn = []
        client.withdraw = lambda target, ticket_id: withdrawn.append(ticket_id)
        client.wait(TARGET, REQUEST, DEADLINE_SECONDS)
        assert withdrawn == ["t"]
