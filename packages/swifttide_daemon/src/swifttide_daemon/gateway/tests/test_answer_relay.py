"""Tests of relaying streams to callers."""

import asyncio
from types import SimpleNamespace

import pytest

from swifttide_core.forwarding import (
    RequestKind,
    Route,
    ServiceSpec,
    TargetEntry,
    WeightedService,
)
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.budgets._reservation import Reservation
from swifttide_daemon.gateway.callers._answer_relay import AnswerRelay
from swifttide_daemon.gateway.callers._caller_request import CallerRequest
from swifttide_daemon.gateway.callers._job import Job, Progress
from swifttide_daemon.gateway.callers._refusal import Refusal
from swifttide_daemon.gateway.targets._target_answer import AnswerHead
from swifttide_daemon.gateway.tests._overload_engines import FakeChannel, FakeFields

ROUTE = Route(
    "chat",
    "chat",
    "/",
    RequestKind.STREAMING,
    (WeightedService("chat", 1.0),),
    4.0,
    1.0,
)
EVENTS = [b"id: %d\ndata: x\n\n" % n for n in range(3)]


class Exchange:
    """Answer of a target with three events."""

    head = AnswerHead(200, (), "a", b"stamp")
    target = TargetEntry(
        "t", "chat", "127.0.0.1", 1, "zone-0", 1, software_version="v1"
    )

    def __init__(self):
        self._pieces = [*EVENTS, None]

    async def read_piece(self):
        return self._pieces.pop(0)

    def cancel(self):
        self._pieces = [None]


def relay_with(reservation, log) -> tuple[FakeChannel, Progress]:
    """Relay three events of 16 tokens each; returns the channel and the progress."""

    async def main():
        beliefs = SimpleNamespace(config=SimpleNamespace(version=1))
        metrics = GatewayMetrics("h", "zone-0")
        relay = AnswerRelay(
            FakeFields(), None, None, None, lambda: None, beliefs, metrics, log
        )
        now = asyncio.get_running_loop().time()
        req = CallerRequest("a", "POST", b"/", "chat", (), b"", now)
        service = ServiceSpec("chat", tokens_per_event=16)
        channel, progress = FakeChannel(), Progress()
        job = Job(req, ROUTE, service, None, now + 4.0, b"", reservation, channel, "")
        try:
            await relay.relay(job, progress, Exchange())
        except Refusal as refusal:
            channel.refusal = refusal
        return channel, progress

    return asyncio.run(main())


class TestTokensReservedInAnOutage:
    def test_turn_within_its_reservation_is_complete(self, log):
        """Guards against turns that fail as soon as fewer tokens are reserved.

        While the store is unreachable, each of them was answered with 502.
        """
        channel, progress = relay_with(Reservation(None, 48, True), log)
        assert channel.is_whole
        assert progress.n_events == 3

    @pytest.mark.parametrize("tokens", [32, 47])
    def test_turn_ends_before_it_exceeds_its_reservation(self, log, tokens):
        """Guards against a program that generates more than its budget."""
        channel, progress = relay_with(Reservation(None, tokens, True), log)
        assert channel.refusal.reason == "tokens_used_up_in_outage"
        assert progress.n_events == 2
