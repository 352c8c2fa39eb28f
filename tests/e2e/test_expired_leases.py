"""Leases that expire while the platform is away, and what callers get meanwhile."""

import time

import pytest

from tests.e2e._world import Story


def let_lease_expire(world, host):
    """Pause a host until its lease has expired.

    Without the platform, the lease isn't renewed afterwards, nor are those of the
    other hosts of its zone, which got no promise from it.
    """
    process = world.host_process(host)
    process.freeze()
    time.sleep(1.5 * world.fleet.plan.lease_seconds)
    process.thaw()


@pytest.fixture
def world(start_world):
    world = start_world()
    world.until(world.slots_rest)
    return world


class TestExpiredLeases:
    def test_programs_go_on_in_the_zone_that_has_the_platform(self, world):
        """Guards against programs that stop until their home zone has the platform
        back, because its rows still name holders whose leases have expired.
        """
        stories = [Story(world, f"cut-{i}") for i in range(8)]
        for story in stories:
            story.say("za-h0", "before")
        world.fault_platform("down", zone="za")
        let_lease_expire(world, "za-h1")
        for story in stories:
            story.say("zb-h0", "at the other zone")
        for story in stories:
            story.say("za-h0", "at the zone that is cut off")
        world.fault_platform("none", zone="za")
        for story in stories:
            story.say("za-h1", "after")

    def test_single_calls_go_on_without_any_valid_lease(self, world):
        """Guards against refusals of calls that belong to no program, for which no
        holder of a slot decides anything.
        """
        world.fault_platform("down", zone="za")
        let_lease_expire(world, "za-h1")
        for _ in range(6):
            for host in ("za-h0", "za-h1"):
                assert world.chat(host, None, None, "hello").status == 200
