"""The platform away for all, for a zone, and a zone cut off from the others."""

import pytest

from tests.e2e._world import Story

CALLER_KEEPS = {"history": "caller"}


@pytest.fixture
def world(start_world):
    return start_world()


class TestOutages:
    def test_platform_down_for_long(self, world):
        """The platform's store is down for several leases. Programs whose history it
        keeps wait and are told for how long; nothing is lost, and once it is back
        everything goes on.
        """
        story = Story(world, "durable")
        story.say("za-h0", "before")
        world.fault_platform("down")
        for host in world.hosts:
            answer = world.chat(host, "durable", 2, "during")
            assert answer.verdict in ("not_run", "may_have_run")
            assert answer.retry_after
        world.until(lambda: is_refused_at_once(world))
        world.fault_platform("none")
        story.say("zb-h1", "during")
        story.say("za-h1", "after")

    def test_single_calls_go_on_while_the_platform_is_down(self, world):
        """A call that belongs to no program needs nothing of the platform. Engines
        and hosts are well, so refusing it would lose a sale for nothing.
        """
        world.fault_platform("down")
        for _ in range(12):
            for host in world.hosts:
                assert world.chat(host, None, None, "hello").status == 200

    def test_one_zone_cut_from_the_platform(self, world):
        """One zone loses the platform and the other doesn't. Callers of both get their
        programs on, through the zone that can still commit.
        """
        stories = [Story(world, f"cut-{i}") for i in range(4)]
        for story in stories:
            story.say("za-h0", "before")
        world.fault_platform("down", zone="za")
        for story in stories:
            story.say("zb-h0", "during")
        world.fault_platform("none", zone="za")
        for story in stories:
            story.say("za-h1", "after")

    def test_zone_cut_from_other_zones(self, world):
        """All hosts of a zone fall silent to the others, without a word. The rest goes
        on with their programs, and when they are back nobody has two histories.
        """
        stories = [Story(world, f"silent-{i}") for i in range(4)]
        for story in stories:
            story.say("zb-h0", "before")
        for host in ("zb-h0", "zb-h1"):
            world.host_process(host).freeze()
        for story in stories:
            story.say("za-h0", "during")
        for host in ("zb-h0", "zb-h1"):
            world.host_process(host).thaw()
        for story in stories:
            story.say("zb-h1", "after")
            story.say("za-h1", "and on")


def is_refused_at_once(world):
    answer = world.chat("za-h0", "durable", 2, "during", wait=3.0)
    return answer.verdict == "not_run" and bool(answer.retry_after)
