"""Calls that may not be repeated, counted where they take effect."""

from concurrent.futures import ThreadPoolExecutor

import pytest

SLOW_SECONDS = 2.0


@pytest.fixture
def world(start_world):
    return start_world()


def start_slow_call(world, pool, key):
    """Start a call through an entry host and return it and its holder."""
    world.fault_service("slow", seconds=SLOW_SECONDS)
    holder = world.holder(f"p-{key}")
    call = pool.submit(world.pay, world.other_host(holder), key)
    world.until(lambda: world.effects(key) == 1)
    return call, holder


def settle(world, key):
    """Send the key again through every host until each gives a final answer."""
    world.fault_service("none")
    answers = []
    for host in world.hosts:
        world.until(lambda host=host: is_final(_ask(world, host, key, answers)))
    return [answer for answer in answers if is_final(answer)]


def _ask(world, host, key, answers):
    answers.append(world.pay(host, key))
    return answers[-1]


def is_final(answer):
    return answer.verdict in ("ran", "may_have_run") and answer.status != 0


class TestNonRepeatable:
    def test_holder_killed_in_the_middle(self, world):
        """A host dies between sending a charge and reading the answer. The caller gets
        no answer and sends the charge again, through whichever host is left.
        """
        with ThreadPoolExecutor() as pool:
            call, holder = start_slow_call(world, pool, "k1")
            world.host_process(holder).kill()
            assert call.result().verdict == "may_have_run"
        answers = settle(world, "k1")
        assert {answer.verdict for answer in answers} == {"may_have_run"}
        assert world.effects("k1") == 1

    def test_holder_frozen_past_its_lease(self, world):
        """A host is paused while a charge is on its way, another takes its slots over
        and is sent the same charge, and then the first one wakes up.
        """
        with ThreadPoolExecutor() as pool:
            call, holder = start_slow_call(world, pool, "k2")
            world.host_process(holder).freeze()
            world.until(lambda: world.holder("p-k2") != holder)
            again = world.pay(world.other_host(holder), "k2")
            world.host_process(holder).thaw()
            assert is_final(again)
            assert call.result().verdict in ("ran", "may_have_run")
        settle(world, "k2")
        assert world.effects("k2") == 1

    def test_answer_of_the_service_is_lost(self, world):
        """The service charges and its answer never arrives. A scheduler that tries
        again charges twice.
        """
        world.fault_service("lost_answer")
        assert world.pay("za-h0", "k3").verdict == "may_have_run"
        answers = settle(world, "k3")
        assert {answer.verdict for answer in answers} == {"may_have_run"}
        assert world.effects("k3") == 1

    def test_repeatable_call_whose_answers_are_lost(self, start_world):
        """The service runs a call and its answer never arrives; the call may be
        repeated, so other targets are tried until none is left. What the last refusal
        says must also be true of the first try. (A fleet of its own: after so many
        failures the targets are left alone for a while.)
        """
        world = start_world()
        world.fault_service("lost_answer")
        answer = world.send("za-h0", "/v1/services/billing/stock", b"{}")
        assert answer.verdict == "may_have_run"

    def test_one_key_through_all_hosts_at_once(self, world):
        """A tablet that loses patience sends its order through every door at once."""
        world.fault_service("slow", seconds=0.5)
        with ThreadPoolExecutor(16) as pool:
            calls = [pool.submit(world.pay, h, "k4") for h in world.hosts * 4]
            answers = [call.result() for call in calls]
        assert world.effects("k4") == 1
        assert all(answer.verdict in ("ran", "may_have_run") for answer in answers)
        assert any(answer.verdict == "ran" for answer in answers)

    def test_platform_loses_its_answers(self, world):
        """The journal takes the intent in and its answer is lost. Whether the charge
        is sent or refused, what the caller is told must be true.
        """
        world.fault_platform("lost_answer")
        answers = {f"k5-{i}": world.pay("za-h0", f"k5-{i}") for i in range(3)}
        world.fault_platform("none")
        for key, answer in answers.items():
            if answer.verdict == "not_run":
                assert world.effects(key) == 0
            assert world.effects(key) <= 1
            settle(world, key)
            assert world.effects(key) <= 1

    def test_platform_is_down(self, world):
        """Without a journal a charge can't be told from its repetition: it is refused,
        the caller is told when to come back, and then it works.
        """
        world.fault_platform("down")
        answer = world.pay("za-h0", "k6")
        assert (answer.verdict, answer.status) == ("not_run", 503)
        assert answer.retry_after
        assert world.effects("k6") == 0
        world.fault_platform("none")
        world.until(lambda: world.pay("za-h0", "k6").verdict == "ran")
        assert world.effects("k6") == 1

    def test_refused_connection_is_not_run(self, world):
        """The service's process is gone. Nothing was sent, so the caller may try
        again, and must not be told to go and look.
        """
        service = world.fleet.services["billing"].process
        service.kill()
        answer = world.pay("za-h0", "k7")
        assert answer.verdict == "not_run"
        assert answer.retry_after
