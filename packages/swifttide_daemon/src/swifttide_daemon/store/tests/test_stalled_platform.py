"""Tests of the detection of a platform that accepts requests and doesn't answer."""

from contextlib import contextmanager
from types import SimpleNamespace

import urllib3

from swifttide_daemon.store import _client
from swifttide_daemon.store._client import STALL_SECONDS, PlatformClient


class Pool:
    """Connection pool whose requests time out after `waits` were recorded."""

    def __init__(self, clock):
        self.clock = clock
        self.stalled = []

    def request(self, *args, **options):
        for _ in range(2):
            self.stalled.append(self.client.stalled)
            self.clock.now += STALL_SECONDS
        raise urllib3.exceptions.ReadTimeoutError(None, "", "")


@contextmanager
def child_span(name, **fields):
    yield SimpleNamespace(traceparent="")


def make_client(pool):
    metrics = SimpleNamespace(observe_platform=lambda *args: None)
    telemetry = SimpleNamespace(child_span=child_span, metrics=metrics)
    pool.client = PlatformClient(pool, "http://platform", {}, None, telemetry)
    return pool.client


class TestStalled:
    def test_request_without_response_counts_before_it_times_out(self, monkeypatch):
        """Guards against hosts that promise nothing to each other until it is too late
        for their leases.
        """
        clock = SimpleNamespace(now=100.0)
        clock.monotonic = lambda: clock.now
        monkeypatch.setattr(_client, "time", clock)
        pool = Pool(clock)
        client = make_client(pool)
        assert client.read("hosts", "za/h0").is_error()
        assert pool.stalled == [False, True]
        assert not client.stalled
        assert client.failing
