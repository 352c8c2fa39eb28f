"""Tests the counts of requests under way that hosts report to each other."""

import asyncio
import random

import pytest

from swifttide_daemon.gateway.targets._target_health import (
    COUNT_VALIDITY_BEACONS,
    TargetHealth,
)
from swifttide_standins.paused_clock import run_paused


@pytest.mark.parametrize("seed", range(5))
def test_totals_follow_reported_counts(seed):
    """Guards against sums that drift, so that a target seems full for ever."""

    async def play():
        rng = random.Random(seed)
        health = TargetHealth(lambda target_id: False)
        for _ in range(300):
            counts = {f"t{rng.randrange(4)}": rng.randrange(-1, 5) for _ in range(3)}
            health.update_remote_counts(f"h{rng.randrange(20)}", counts, 0.2)
            await asyncio.sleep(rng.choice((0.0, 0.1, 0.5)))
        health.update_remote_counts("h0", {"t1": 2}, 0.2)
        health.update_remote_counts("h0", {"t1": 3}, 1.0)
        await asyncio.sleep(0.2 * COUNT_VALIDITY_BEACONS + 0.4)
        before = [health.outstanding(f"t{i}") for i in range(4)]
        await asyncio.sleep(1.0 * COUNT_VALIDITY_BEACONS)
        return before, [health.outstanding(f"t{i}") for i in range(4)]

    before, after = run_paused(play())
    assert before == [0, 3, 0, 0]
    assert after == [0, 0, 0, 0]
