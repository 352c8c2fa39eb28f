"""Detects that this process has stood still, e.g. stopped or on a suspended machine."""

import asyncio

from swifttide_daemon.gateway._metrics import GatewayMetrics
from swifttide_daemon.gateway.peers._elapsed_clock import elapsed_seconds
from swifttide_daemon.telemetry import EventLog

TICK_SECONDS = 0.1

MIN_STALL_SECONDS = 0.5
"""Time without a turn of the event loop that counts as a stall. Beacons of other hosts,
of which three in a row are lost by then, aren't read meanwhile."""


class StallDetector:
    """Detects that the event loop hasn't run for a while.

    After a stall, what this host knows is as old as the stall was long, and other hosts
    look lost although only their messages haven't been read.

    Parameters
    ----------
    metrics : GatewayMetrics
    log : EventLog

    Attributes
    ----------
    n_stalls : int
        Number of stalls so far, as of the last `update`.
    """

    def __init__(self, metrics: GatewayMetrics, log: EventLog):
        self._metrics = metrics
        self._log = log
        self._ticked_at: float | None = None
        self.n_stalls = 0

    @property
    def seconds_since_tick(self) -> float:
        """Time since the event loop last ran this detector."""
        if self._ticked_at is None:
            return 0.0
        return elapsed_seconds() - self._ticked_at

    async def run(self) -> None:
        """Detect stalls until cancelled."""
        while True:
            self.update()
            await asyncio.sleep(TICK_SECONDS)

    def update(self) -> None:
        """Note that the event loop runs, and whether it has stood still until now.

        A request that was read right after a stall may be handled before `run` notices.
        """
        seconds = self.seconds_since_tick
        self._ticked_at = elapsed_seconds()
        if seconds >= MIN_STALL_SECONDS:
            self.n_stalls += 1
            self._metrics.stalled(seconds)
            self._log.warning("process_stalled", seconds=round(seconds, 3))
