"""Two failures at the same time, on real processes."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.e2e._world import Story

SLOW_SECONDS = 2.0
MANY = 10


@pytest.fixture
def world(start_world):
    return start_world()


def is_final(answer):
    return answer.verdict in ("ran", "may_have_run") and answer.status != 0


class TestTwoFailures:
    def test_holder_killed_while_the_platform_is_down(self, world):
        """The platform goes down while a charge is on its way, and then the host that
        sent it dies. Its answer is in no journal. Whoever sends the charge again must
        not cause a second one, before the platform is back or after.
        """
        world.fault_service("slow", seconds=SLOW_SECONDS)
        holder = world.holder("p-k1")
        with ThreadPoolExecutor() as pool:
            call = pool.submit(world.pay, world.other_host(holder), "k1")
            world.until(lambda: world.effects("k1") == 1)
            world.fault_platform("down")
            world.host_process(holder).kill()
            world.fault_service("none")
            for host in world.hosts:
                world.pay(host, "k1", wait=5.0)
            assert world.effects("k1") == 1
            world.fault_platform("none")
            assert call.result().verdict in ("may_have_run", "ran")
        for host in world.hosts:
            world.until(lambda host=host: is_final(world.pay(host, "k1")))
        assert world.effects("k1") == 1

    def test_answers_of_platform_and_service_lost(self, world):
        """The platform loses its answers and so does the service. Nobody knows anything
        for sure, and still nothing may be charged twice.
        """
        world.fault_platform("lost_answer")
        world.fault_service("lost_answer")
        for i in range(3):
            for host in world.hosts:
                answer = world.pay(host, f"lost-{i}")
                assert answer.verdict in ("may_have_run", "not_run")
        world.heal()
        for i in range(3):
            for host in world.hosts:
                world.until(lambda h=host, k=f"lost-{i}": is_final(world.pay(h, k)))
            assert world.effects(f"lost-{i}") <= 1

    def test_zone_cut_from_the_platform_and_the_other_zone(self, world):
        """A zone is left with its own hosts and targets. It serves what needs no
        record, for longer than any lease, refuses the rest at once as not run, and has
        lost nothing when the cut ends.
        """
        story = Story(world, "both")
        story.say("za-h0", "before")
        world.fault_platform("down", zone="za")
        for host in ("zb-h0", "zb-h1"):
            world.host_process(host).freeze()
        served = 0

        def served_for_long():
            nonlocal served
            served += world.chat("za-h0", None, None, "hello").status == 200
            return served >= MANY * world.fleet.plan.lease_seconds

        world.until(served_for_long)
        world.until(lambda: world.pay("za-h1", "cut").verdict == "not_run")
        assert world.effects("cut") == 0
        for host in ("zb-h0", "zb-h1"):
            world.host_process(host).thaw()
        world.heal()
        story.say("za-h1", "after")
        story.say("zb-h0", "and on")
        world.until(lambda: world.pay("zb-h1", "cut").verdict == "ran")
        assert world.effects("cut") == 1


class TestEnginesThatCheckFencing:
    def test_frozen_holder_wakes_up(self, start_world):
        """Engines refuse orders with old numbers. A holder is frozen past its lease,
        its successor goes on with the program, and then the first one is asked again.
        It must neither run on old rows nor be locked out for good.
        """
        world = start_world(engine_options={"checks_fencing": True})
        story = Story(world, "fenced")
        story.say("za-h0", "one")
        story.say("zb-h0", "two")
        holder = world.holder("fenced")
        world.host_process(holder).freeze()
        story.say(world.other_host(holder), "three")
        story.say(world.other_host(holder), "four")
        world.host_process(holder).thaw()
        story.say(holder, "five")
        story.say(world.other_host(holder), "six")
        ended = world.send("za-h0", "/v1/programs/fenced", b"", method="DELETE")
        assert ended.status == 200
        world.until(lambda: world.cached_bytes() == 0)
