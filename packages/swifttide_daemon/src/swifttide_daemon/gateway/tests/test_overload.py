"""What callers get of engines that are asked for more than they can do."""

import asyncio

import pytest

from swifttide_daemon.gateway.tests._overload import (
    N_TURNS,
    PLACES,
    TURN_SECONDS,
    Fleet,
)
from swifttide_standins.paused_clock import run_paused

N_LEFT = 2
"""Engines that stay."""

BEARABLE = N_LEFT * PLACES / TURN_SECONDS / N_TURNS
"""Programs a second that the engines that stay can finish."""

GOOD_PART = 0.85
"""Of what the engines bear: as much is to end in time under any overload."""

LOST_AT = 12.0
BACK_AT = 13.0
END = 33.0


class TestLossOfAllHosts:
    """Three of five engines leave, then all hosts are lost and come back."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_programs_end_in_time_afterwards(self, store, log, seed):
        """All hosts are killed while two engines have to do the work of five. When
        the hosts are back, everybody who waited asks again at once, and new callers
        come as before. Each host sends whatever arrives to the engines. Their queues
        fill, every program takes a little of them, and none gets through all of its
        turns in time: callers give up on work that is half done, and 12 s later
        still nobody is served, although the engines never stand idle.
        """

        async def play():
            fleet = Fleet(5, 5, store, log, seed)
            telling = asyncio.create_task(fleet.tell())
            loading = asyncio.create_task(fleet.load(1.25 * BEARABLE, END))
            await asyncio.sleep(8.0)
            fleet.take_engines(5 - N_LEFT)
            await asyncio.sleep(LOST_AT - fleet.now)
            fleet.lose_all()
            await asyncio.sleep(BACK_AT - fleet.now)
            fleet.start_all()
            await loading
            telling.cancel()
            return fleet.outcomes

        outcomes = run_paused(play())
        start = BACK_AT + 4.0
        served = outcomes.count(outcomes.in_time, start, END)
        bearable = BEARABLE * (END - start)
        assert served >= GOOD_PART * bearable
