"""Outages of the platform while hosts join, stop, are paused and lost, by seed.

``SWIFTTIDE_SOAK_SEEDS=101-150`` plays other seeds than those of CI.
"""

import os
import random
import threading
import time
from dataclasses import dataclass

import pytest

from tests.e2e._world import BROKEN, Story

STORM_SECONDS = 16.0
MAX_OUTAGE_SECONDS = 7.0
N_STORIES = 4
N_SINGLE_CALLERS = 3
ZONES = ("za", "zb")


def chosen_seeds():
    first, _, last = os.environ.get("SWIFTTIDE_SOAK_SEEDS", "1-2").partition("-")
    return range(int(first), int(last or first) + 1)


@dataclass(frozen=True, slots=True)
class Event:
    """Something that happens to the fleet.

    Parameters
    ----------
    at : float
        Seconds from the start of the storm.
    what : {"join", "stop", "kill", "pause", "resume", "outage", "heal"}
        Kind of the event.
    whom : str
        Host, or for outages a zone or "" for all.
    """

    at: float
    what: str
    whom: str


def draw_events(seed):
    """Return the events of a storm in their order.

    With an odd seed, hosts only join, and each caller may count on all of them.
    """
    rng = random.Random(seed)

    def moment(latest=STORM_SECONDS):
        return rng.uniform(0.0, latest)

    events = [
        Event(moment(STORM_SECONDS / 2), "join", f"{zone}-new{i}")
        for i in range(rng.randint(1, 2))
        for zone in rng.sample(ZONES, rng.randint(1, 2))
    ]
    for _ in range(rng.randint(1, 2)):
        begin, whom = (
            moment(STORM_SECONDS - MAX_OUTAGE_SECONDS),
            rng.choice(("", "", *ZONES)),
        )
        seconds = rng.uniform(1.0, MAX_OUTAGE_SECONDS)
        events.append(Event(begin, "outage", whom))
        events.append(Event(begin + seconds, "heal", whom))
    if seed % 2 == 0:
        for _ in range(rng.randint(1, 3)):
            begin, host = moment(), f"{rng.choice(ZONES)}-h0"
            events.append(Event(begin, "pause", host))
            events.append(Event(begin + rng.uniform(0.3, 5.0), "resume", host))
        what = rng.choice(("stop", "kill", ""))
        if what:
            events.append(Event(moment(), what, f"{rng.choice(ZONES)}-h1"))
    return sorted(events, key=lambda event: event.at)


class Storm:
    """Plays events on a fleet."""

    def __init__(self, world, events):
        self.world = world
        self.events = events
        self.started_at = time.monotonic()
        self.lost = set()
        self.joins = []

    def play(self):
        for event in self.events:
            time.sleep(max(0.0, self.started_at + event.at - time.monotonic()))
            self.apply(event)
        for thread in self.joins:
            thread.join()
        self.world.heal()

    def apply(self, event):
        world, whom = self.world, event.whom
        match event.what:
            case "join":
                hosts = [(whom, whom.partition("-")[0])]
                args = (hosts,)
                thread = threading.Thread(target=world.fleet.start_hosts, args=args)
                thread.start()
                self.joins.append(thread)
            case "stop":
                self.lost.add(whom)
                world.host_process(whom).terminate()
            case "kill":
                self.lost.add(whom)
                world.host_process(whom).kill()
            case "pause":
                world.host_process(whom).freeze()
            case "resume":
                world.host_process(whom).thaw()
            case "outage":
                world.fault_platform("down", zone=whom)
            case "heal":
                world.fault_platform("none", zone=whom)


class Callers:
    """Callers who send single calls and tell stories until they are told to end."""

    def __init__(self, world, storm):
        self.world = world
        self.storm = storm
        self.ended = threading.Event()
        self.refused = []
        self.faults = []
        self.stories = [Story(world, f"soak-{i}") for i in range(N_STORIES)]
        loops = [self.send_singles] * N_SINGLE_CALLERS
        loops += [lambda i, s=story: self.tell(i, s) for story in self.stories]
        self.threads = [
            threading.Thread(target=loop, args=(i,)) for i, loop in enumerate(loops)
        ]
        for thread in self.threads:
            thread.start()

    def end(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def ready_hosts(self):
        """Return the hosts that a balancer would choose."""
        world = self.world
        hosts = [h for h in world.hosts if h not in self.storm.lost]
        ready = [
            h
            for h in hosts
            if world.send(h, "/readyz", b"", method="GET", wait=1.0).status == 200
        ]
        return ready or hosts

    def send_singles(self, number):
        rng = random.Random(number)
        while not self.ended.is_set():
            host = rng.choice(self.ready_hosts())
            sent_at = time.monotonic()
            answer = self.world.chat(host, None, None, "hello")
            if answer.status != 200 and host not in self.storm.lost:
                at = sent_at - self.storm.started_at
                self.refused.append((round(at, 2), host, answer))
            time.sleep(0.05)

    def tell(self, number, story):
        rng = random.Random(number)
        n_said = 0
        while not self.ended.is_set():
            n_said += 1
            try:
                story.say(lambda: rng.choice(self.ready_hosts()), f"turn {n_said}")
            except Exception as exc:
                self.faults.append((story.program, exc))
                return
            time.sleep(0.2)


@pytest.fixture
def world(start_world):
    world = start_world(daemon_settings={"log": {"level": "info"}})
    world.until(world.slots_rest)
    return world


class TestOutageSoak:
    @pytest.mark.parametrize("seed", chosen_seeds())
    def test_callers_get_answers_during_and_after_outages(self, world, seed):
        """Guards against calls refused for want of a holder while the platform is away,
        and against programs that don't go on when everything is back.
        """
        events = draw_events(seed)
        storm = Storm(world, events)
        callers = Callers(world, storm)
        storm.play()
        world.until(world.slots_rest)
        callers.end()
        for host in callers.ready_hosts():
            world.until(lambda host=host: world.serves(host))
        assert callers.faults == []
        for _, host, answer in callers.refused:
            assert answer == BROKEN or answer.verdict in ("not_run", "may_have_run")
            assert answer.verdict != "not_run" or answer.retry_after, host
        only_joins = not {e.what for e in events} - {"join", "outage", "heal"}
        assert not only_joins or callers.refused == [], events
