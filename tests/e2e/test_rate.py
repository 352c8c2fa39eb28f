"""A customer's rate and burst over all hosts together."""

import threading
import time

import pytest

from swifttide_standins.launcher import hash_key

RATE = 20.0
BURST = 10.0
SECONDS = 8.0
CALLERS_PER_HOST = 3


@pytest.fixture
def world(start_world):
    world = start_world()
    name = {"name": "busy", "rate_per_second": RATE, "burst": BURST}
    world.fleet.operator.put("customer", "busy", name)
    hashed = hash_key("busy-key")
    world.fleet.operator.put("key", hashed, {"key_hash": hashed, "customer": "busy"})
    world.put_profile(customers=["club", "busy"])
    return world


def flood(world, seconds):
    """Ask without pause through every host; return (sent, answered) of the admitted."""
    admitted = []
    ends_at = time.monotonic() + seconds

    def ask(host):
        bearer = {"Authorization": "Bearer busy-key"}
        while time.monotonic() < ends_at:
            sent = time.monotonic()
            answer = world.chat(host, None, None, "hello", **bearer)
            if answer.status == 200:
                admitted.append((sent, time.monotonic()))
            elif answer.status != 429:
                time.sleep(0.05)

    threads = [
        threading.Thread(target=ask, args=(host,))
        for host in world.hosts * CALLERS_PER_HOST
    ]
    for thread in threads:
        thread.start()
    return admitted, threads


def worst_excess(admitted):
    """Return how far any window exceeds rate x window + burst, at least 0.

    A call that was sent after a window began and answered before it ended was admitted
    inside it, whatever the machine's load.
    """
    worst = 0.0
    for begin in {sent for sent, _ in admitted}:
        inside = sorted(answered for sent, answered in admitted if sent >= begin)
        for n, end in enumerate(inside, 1):
            worst = max(worst, n - RATE * (end - begin) - BURST)
    return worst


class TestRate:
    def test_all_hosts_together(self, world):
        """One customer sends many times its rate through every host, and the host that
        counts for it dies meanwhile. What it gets too much, others wait for.
        """
        admitted, threads = flood(world, SECONDS)
        world.until(lambda: len(admitted) > RATE)
        world.host_process("za-h0").kill()
        for thread in threads:
            thread.join()
        assert worst_excess(admitted) <= 0.0
        assert len(admitted) > RATE
