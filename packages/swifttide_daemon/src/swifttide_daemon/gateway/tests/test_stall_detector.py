"""Stalls of the process, on a paused clock."""

import asyncio

from swifttide_daemon.gateway import _stall_detector
from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway._stall_detector import StallDetector
from swifttide_standins.paused_clock import run_paused


class TestStallDetector:
    def test_stall_is_measured(self, log, monkeypatch):
        stalled = 0.0

        def elapsed_seconds():
            return asyncio.get_running_loop().time() + stalled

        async def main():
            nonlocal stalled
            metrics = GatewayMetrics("h", "a")
            detector = StallDetector(metrics, log)
            running = asyncio.create_task(detector.run())
            await asyncio.sleep(3.05)
            assert detector.seconds_since_tick < 0.11
            stalled = 6.0
            assert 6.0 < detector.seconds_since_tick < 6.11
            assert detector.n_stalls == 0
            detector.update()
            assert detector.n_stalls == 1
            await asyncio.sleep(0.2)
            running.cancel()
            return metrics.render()[0].decode()

        monkeypatch.setattr(_stall_detector, "elapsed_seconds", elapsed_seconds)
        assert 'swifttide_stall_seconds_count{host="h",zone="a"} 1' in run_paused(
            main()
        )
