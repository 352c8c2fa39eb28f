"""Graceful stops and the replacement of every host, under load."""

import signal
import threading

import pytest

from tests.e2e._world import Story

LONG_WORD_SECONDS = 1.2
"""Eight words take longer than a host's notice and its server's own shutdown."""

SIGTERM_STATUS = (0, -signal.SIGTERM)


@pytest.fixture
def world(start_world):
    return start_world()


class Load:
    """Callers who tell long stories through whichever host says it is ready."""

    def __init__(self, world, n_callers):
        self.world = world
        self.ended = threading.Event()
        self.stories = [Story(world, f"story-{i}") for i in range(n_callers)]
        self.faults = []
        self.threads = [
            threading.Thread(target=self.tell, args=(i, story))
            for i, story in enumerate(self.stories)
        ]
        for thread in self.threads:
            thread.start()

    def tell(self, i, story):
        n = 0
        while not self.ended.is_set():
            n += 1
            try:
                story.say(lambda n=n: self.choose(i + n), f"turn {n}")
            except Exception as exc:
                self.faults.append(exc)
                return

    def choose(self, number):
        """Return the host that the platform's balancer would send a caller to."""
        ready = [h for h in self.world.hosts if self.is_ready(h)] or self.world.hosts
        return ready[number % len(ready)]

    def is_ready(self, host):
        return self.world.send(host, "/readyz", b"", method="GET").status == 200

    def end(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()


class TestGracefulStop:
    def test_long_streams_run_to_their_end(self, world):
        """A host is stopped while callers read long answers from it. One that simply
        exits cuts them off in the middle of a sentence.
        """
        world.fault_engines("slow", word_seconds=LONG_WORD_SECONDS)
        answers = []
        hosts = ["za-h0"] * 6
        threads = [
            threading.Thread(
                target=lambda i=i, h=h: answers.append(
                    world.chat(h, f"long-{i}", 1, f"tell me {i}")
                )
            )
            for i, h in enumerate(hosts)
        ]
        for thread in threads:
            thread.start()
        world.until(lambda: running(world) >= len(threads))
        process = world.host_process("za-h0")
        process.terminate()
        for thread in threads:
            thread.join()
        assert [answer.status for answer in answers] == [200] * len(threads)
        assert process.wait() in SIGTERM_STATUS
        world.fault_engines("none")
        for i in range(len(threads)):
            assert world.read_program("za-h1", f"long-{i}")["turns"] == 1

    def test_all_hosts_replaced_one_after_another(self, world):
        """Every host is replaced on an ordinary day, with nothing kept on any. Callers
        notice nothing but an answer that takes a moment longer.
        """
        load = Load(world, 4)
        old = list(world.hosts)
        for number, name in enumerate(old):
            zone = world.fleet.hosts[name].zone
            fresh = f"{zone}-new{number}"
            world.fleet.start_hosts([(fresh, zone)])
            process = world.host_process(name)
            process.terminate()
            assert process.wait() in SIGTERM_STATUS
        load.end()
        assert not load.faults
        assert not set(old) & set(world.hosts)
        assert all(story.turn > 0 for story in load.stories)
        for story in load.stories:
            for host in world.hosts:
                assert world.read_program(host, story.program)["turns"] == story.turn


def running(world):
    urls = [f"{engine.url}/v1/load" for engine in world.fleet.engines.values()]
    return sum(world.fleet.call("GET", url).json()["running"] for url in urls)
