"""Tests of failures before a request is sent to its target."""

import asyncio

import pytest

from swifttide_core.forwarding import TargetEntry
from swifttide_daemon.gateway import ConnectionPool, NotRun, TargetFailure
from swifttide_daemon.gateway.http._client_connection import ClientConnection
from swifttide_daemon.gateway.targets._target_client import TargetClient
from swifttide_daemon.gateway.targets._target_prober import TargetProber
from swifttide_daemon.gateway.targets._target_uploads import TargetUploads
from swifttide_standins.paused_clock import run_paused

TARGET = TargetEntry("t1", "s", "10.0.0.1", 1, "zone-a", 12)


class TestConnecting:
    @pytest.mark.parametrize(
        "exc", [UnicodeError("label too long"), OverflowError("port"), KeyError("x")]
    )
    def test_unforeseen_failure_counts_as_not_run(self, log, monkeypatch, exc):
        """Guards against 502 for requests that other targets could serve."""

        async def fail(ip, port):
            raise exc

        async def main():
            monkeypatch.setattr(ClientConnection, "open", fail)
            pool = ConnectionPool()
            prober = TargetProber(pool, lambda target_id: None, log)
            client = TargetClient(None, pool, prober, TargetUploads())
            with pytest.raises(TargetFailure) as caught:
                await client.connect(TARGET, 0, 1.0)
            is_down = prober.is_down("t1")
            prober.forget("t1")
            return caught.value.outcome, is_down

        outcome, is_down = run_paused(main())
        assert isinstance(outcome, NotRun)
        assert not outcome.reached
        assert is_down

    @pytest.mark.parametrize(
        ("ip", "port"),
        [("a" * 64 + ".example", 80), ("a\0b", 80), ("127.0.0.1", 99999)],
    )
    def test_address_that_cannot_be_used_is_an_os_error(self, ip, port):
        with pytest.raises(OSError, match=r"."):
            asyncio.run(ClientConnection.open(ip, port))
