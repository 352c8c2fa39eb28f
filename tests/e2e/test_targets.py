"""Targets that crash, hang, go silent, answer crossed or cut, or leave."""

from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.e2e._world import PROFILE, Story

POISON = "the entry form that crashes its reader"
MAX_CRASHES = 2
GAP_SECONDS = 1.0
SHORT_GAPS = {"timeouts": {"token_gap_seconds": GAP_SECONDS}}


@pytest.fixture(scope="module")
def shared(start_shared_world):
    return start_shared_world(daemon_settings=SHORT_GAPS)


@pytest.fixture
def world(shared):
    yield shared
    shared.heal()
    shared.put_profile()


class TestTargets:
    def test_request_that_crashes_its_targets(self, start_world):
        """One entry form kills each engine that reads it, and its caller sends it
        again, through every host and under new program ids. Soon no engine is left.
        """
        world = start_world(
            zones=("za",),
            hosts_per_zone=3,
            engines_per_zone=5,
            daemon_settings=SHORT_GAPS,
        )
        world.fault_engines("crash_on", text=POISON)
        engines = [engine.process for engine in world.fleet.engines.values()]
        answers = []
        for number in range(6):
            host = world.hosts[number % 3]
            answers.append(world.chat(host, f"try-{number}", 1, POISON))
        crashed = sum(not engine.alive for engine in engines)
        assert 1 <= crashed <= MAX_CRASHES
        assert (answers[-1].status, answers[-1].reason) == (422, "crashes_targets")
        assert answers[-1].verdict == "not_run"
        assert Story(world, "healthy").say(world.hosts[0], "hello").status == 200

    def test_model_that_no_engine_has_loaded(self, world):
        """Operators say that an engine serves another model; the engine has never
        heard of it, as after a restart. Nobody is awake to load it by hand.
        """
        engine = world.fleet.engines["za-e0"]
        target = {
            "name": "za-e0-night",
            "kind": "engine",
            "zone": "za",
            "url": engine.url,
            "serves": "night-model",
        }
        world.fleet.operator.put("target", target["name"], target)
        world.put_profile(model="night-model")
        answers = []

        def served():
            answers.append(world.chat("za-h0", None, None, "hello"))
            return answers[-1].status == 200 and "night-model" in models(world, engine)

        world.until(served)
        refused = [answer for answer in answers if answer.status != 200]
        assert all(answer.verdict == "not_run" for answer in refused)

    def test_tool_that_hangs(self, world):
        """A booking service never answers one call. Its caller must be told in time
        that the call may have run, and other calls go on meanwhile.
        """
        world.put_profile(turn_timeout_seconds=3.0)
        world.fault_service("hang", text="stuck")
        with ThreadPoolExecutor() as pool:
            stuck = pool.submit(world.pay, "za-h0", "k1", "stuck")
            world.until(lambda: world.effects("k1") == 1)
            assert world.pay("za-h0", "k2").verdict == "ran"
            assert stuck.result().verdict == "may_have_run"
        assert world.effects("k1") == 1

    def test_connections_gone_silent(self, world):
        """Something between the two ends has lost track of the open connections. New
        ones work, so programs have to go on over new ones.
        """
        story = Story(world, "silent")
        for text in ("one", "two", "three"):
            story.say("za-h0", text)
        world.fault_engines("silent")
        for text in ("four", "five"):
            story.say("za-h0", text)
        world.fault_service("silent")
        assert world.pay("za-h0", "k3").verdict in ("ran", "may_have_run")

    @pytest.mark.parametrize("mode", ["crossed", "cut_half"])
    def test_answers_crossed_or_cut(self, world, mode):
        """An engine mixes up two answers, or its connection breaks off halfway. The
        caller gets the whole answer to its own request or none.
        """
        story = Story(world, f"own-{mode}")
        story.say("za-h0", "one")
        world.fault_engines(mode, count=2)
        story.say("za-h0", "two")
        story.say("zb-h0", "three")

    @pytest.mark.parametrize("mode", ["crossed", "cut_half"])
    def test_service_answers_crossed_or_cut(self, world, mode):
        """The charge is made, and what comes back belongs to another call or is half.
        Sending it again would charge twice; passing it on would confirm another's.
        """
        world.fault_service(mode, count=1)
        key = f"k4-{mode}"
        answer = world.pay("za-h0", key)
        assert (answer.status, answer.verdict) != (200, "ran")
        assert answer.verdict == "may_have_run"
        assert world.pay("za-h1", key).verdict == "may_have_run"
        assert world.effects(key) == 1

    def test_leaving_target_gets_no_new_work(self, world):
        """An engine is about to be taken away. Work that still goes there is lost."""
        leaving = world.fleet.engines["za-e0"]
        document = {"name": "za-e0", "kind": "engine", "zone": "za"}
        document |= {"url": leaving.url, "serves": "default", "leaving": True}
        world.fleet.operator.put("target", "za-e0", document)

        def rests():
            before = runs(world, leaving)
            for host in world.hosts:
                for _ in range(3):
                    world.chat(host, None, None, "hello")
            return runs(world, leaving) == before

        world.until(rests)
        for _ in range(5):
            assert rests()

    def test_program_without_end(self, world):
        """A program asks itself the next question for ever. Its limit of turns ends
        it, at whichever host it knocks.
        """
        world.put_profile(max_turns=4)
        world.until(lambda: world.chat("za-h0", None, None, "x").status == 200)
        answers = []
        for number in range(40):
            host = world.hosts[number % 4]
            answers.append(world.chat(host, "loop", None, f"and then {number}"))
            if answers[-1].status == 402:
                break
        assert (answers[-1].status, answers[-1].verdict) == (402, "not_run")
        assert len(world.read_program("zb-h1", "loop")["history"]) == 4
        assert {world.chat(h, "loop", None, "more").status for h in world.hosts} == {
            402
        }
        assert world.read_program("za-h0", "loop")["profile"] == PROFILE


def runs(world, engine):
    return sum(world.fleet.counters(engine)["requests"].values())


def models(world, engine):
    return world.fleet.call("GET", f"{engine.url}/v1/load").json()["models"]
