"""Histories of programs, byte for byte, after every failure."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from swifttide_standins.launcher import hash_key
from tests.e2e._world import KEY, Story


@pytest.fixture
def world(start_world):
    return start_world()


def stored_messages(world, host, program):
    """Return a program's history as the caller would have to send it."""
    messages = []
    for turn in world.read_program(host, program)["history"]:
        messages += turn["messages"]
        messages.append({"role": "assistant", "content": turn["answer"]})
    return messages


class TestHistory:
    def test_hosts_die_between_turns(self, world):
        """The host that serves a program dies after the second turn, and the last host
        of its zone after the third. The household's usual order must still be known,
        also to a zone that has never seen the program.
        """
        story = Story(world, "box")
        story.say("za-h0", "mutton as always")
        story.say("zb-h1", "two pounds more")
        holder = world.holder("box")
        other = world.other_host(holder)
        world.host_process(holder).kill()
        story.say(other, "and horse sausages")
        world.host_process(other).kill()
        story.say(world.hosts[0], "deliver at seven")
        story.say(world.hosts[1], "to the second ger")
        for host in world.hosts:
            assert stored_messages(world, host, "box") == story.messages

    def test_platform_slow_and_losing_answers(self, world):
        """The platform takes commits in and loses its answers, then it is slow. No
        turn may be lost or stand in the history twice.
        """
        story = Story(world, "lost")
        story.say("za-h0", "one")
        world.fault_platform("lost_answer")
        story.say("za-h0", "two")
        world.fault_platform("none")
        world.fault_platform("slow", seconds=0.7)
        story.say("zb-h0", "three")
        world.fault_platform("none")
        story.say("za-h1", "four")
        assert stored_messages(world, "zb-h1", "lost") == story.messages

    def test_one_turn_through_both_zones_at_once(self, world):
        """A caller sends its turn again through the other zone while the first one is
        still running. The history gets one of them, and both callers that one.
        """
        story = Story(world, "twin")
        story.say("za-h0", "one")
        world.fault_engines("slow", seconds=1.0)
        with ThreadPoolExecutor() as pool:
            hosts = ["za-h0", "zb-h0", "za-h1", "zb-h1"]
            calls = [pool.submit(world.chat, h, "twin", 2, "two") for h in hosts]
            answers = [call.result() for call in calls]
        world.fault_engines("none")
        story.say("za-h0", "two")
        assert {a.text for a in answers if a.status == 200} <= {
            story.messages[-1]["content"]
        }
        assert stored_messages(world, "zb-h0", "twin") == story.messages

    def test_turn_ahead_of_its_time(self, world):
        """Turn three overtakes turn two. It is refused as not run, and runs later."""
        story = Story(world, "order")
        story.say("za-h0", "one")
        early = world.chat("za-h0", "order", 3, "three")
        assert (early.status, early.verdict) == (409, "not_run")
        story.say("zb-h0", "two")
        story.say("za-h0", "three")

    def test_other_customer_with_the_same_program_id(self, world):
        """Two customers call their program "box". One must not see the other's."""
        put = world.fleet.operator.put
        put("customer", "rival", {"name": "rival", "rate_per_second": 100, "burst": 9})
        hashed = hash_key("rival-key")
        put("key", hashed, {"key_hash": hashed, "customer": "rival"})
        world.put_profile(customers=["club", "rival"])
        Story(world, "shared").say("za-h0", "secret")
        rival = {"Authorization": "Bearer rival-key"}
        world.until(
            lambda: world.chat("za-h1", "shared", 1, "mine", **rival).status == 200
        )
        got = world.send("za-h0", "/v1/programs/shared", b"", rival, method="GET")
        assert b"secret" not in got.raw
        assert b"mine" in got.raw
        assert KEY.encode() not in got.raw
