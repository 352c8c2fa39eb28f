"""Engines' memory of programs that are gone."""

import pytest

from tests.e2e._world import Story

IDLE_SECONDS = 2.0


@pytest.fixture
def world(start_world):
    world = start_world()
    world.put_profile(idle_seconds=IDLE_SECONDS)
    return world


class TestMemory:
    def test_silent_and_ended_programs_hold_nothing(self, world):
        """Programs end, or their callers never come back, and one host that knew of
        them dies. What engines still hold for them is lost to everybody else.
        """
        for number in range(4):
            story = Story(world, f"gone-{number}")
            story.say("za-h0", "one")
            story.say("zb-h0", "two")
        assert world.cached_bytes() > 0
        for number in range(2):
            path = f"/v1/programs/gone-{number}"
            assert world.send("za-h1", path, b"", method="DELETE").status < 300
        world.host_process(world.holder("gone-2")).kill()
        world.until(lambda: world.cached_bytes() == 0)
        story = Story(world, "after")
        story.say(world.hosts[0], "a program that lives")
