"""A platform that accepts requests and doesn't answer them."""

import time

import pytest

from swifttide_core.documents import HistoryMode
from tests.e2e._world import Story

SILENCE_SECONDS = 60.0
"""Longer than any request to the platform waits."""


def until_leases_would_expire(world):
    """Return a function that is true for three times the duration of a lease."""
    end = time.monotonic() + 3 * world.fleet.plan.lease_seconds
    return lambda: time.monotonic() < end


@pytest.fixture
def world(start_world):
    world = start_world()
    world.until(world.slots_rest)
    return world


class TestUnresponsivePlatform:
    def test_calls_go_on(self, world):
        """Guards against leases that expire while their renewals wait for an answer."""
        world.fault_platform("slow", seconds=SILENCE_SECONDS)
        is_early = until_leases_would_expire(world)
        while is_early():
            for host in world.hosts:
                assert world.chat(host, None, None, "hello").status == 200

    def test_programs_with_the_history_at_their_callers_go_on(self, world):
        """Guards against programs without a holder while renewals get no answer."""
        world.put_profile(history=HistoryMode.CALLER.value)
        story = Story(world, "kept")
        story.say("za-h0", "before")
        world.fault_platform("slow", seconds=SILENCE_SECONDS)
        is_early = until_leases_would_expire(world)
        # The first turns may have reached an engine before the outage is noticed.
        world.until(lambda: world.chat("zb-h0", "kept", None, "x").status == 200)
        while is_early():
            assert world.chat("zb-h0", "kept", None, "during").status == 200
